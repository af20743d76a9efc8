use crate::{Config, Route};
use std::{collections::HashMap, rc::Rc};

/// Finds the route of a request by host and path.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The routes of each host, longest prefix first.
    hosts: HashMap<Rc<str>, Vec<Rc<Route>>>,
}

impl Table {
    /// Builds the table of a configuration.
    pub fn new(config: &Config) -> Self {
        let mut hosts: HashMap<Rc<str>, Vec<Rc<Route>>> = HashMap::new();
        for route in &config.routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts }
    }

    /// The route of `host` with the longest prefix of `path`. A port in `host` is ignored, and the host
    /// is compared without regard to case, as in HTTP.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}
