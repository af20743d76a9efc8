use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::rc::Rc;

/// The regions in which requests, including their bodies, may be served, cached and stored. An empty
/// list allows all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency(SmallVec<[Rc<str>; 2]>);

impl Residency {
    /// Whether a request may be sent to a region; `None` is an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        self.is_unrestricted()
            || region.is_some_and(|region| self.0.iter().any(|home| **home == *region))
    }

    /// Whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<Rc<str>> for Residency {
    fn from_iter<I: IntoIterator<Item = Rc<str>>>(regions: I) -> Self {
        Self(regions.into_iter().collect())
    }
}
