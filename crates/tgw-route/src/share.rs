use std::rc::Rc;

/// Deals requests out to weighted services so that every prefix of the sequence is close to the
/// weights (smooth weighted round robin).
#[derive(Clone, Debug, Default)]
pub struct Share {
    parts: Vec<Part>,
}

#[derive(Clone, Debug)]
struct Part {
    service: Rc<str>,
    weight: f64,
    credit: f64,
}

impl Share {
    /// The next service of `targets`. Credits survive a change of weights, so that a new version of
    /// the configuration does not begin the sequence again. `None` if no weight is positive.
    pub fn next(&mut self, targets: &[(Rc<str>, f64)]) -> Option<Rc<str>> {
        self.adopt(targets);
        let total: f64 = self.parts.iter().map(|p| p.weight).sum();
        for part in &mut self.parts {
            part.credit += part.weight;
        }
        let best = self
            .parts
            .iter_mut()
            .filter(|p| p.weight > 0.0)
            .max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        best.credit -= total;
        Some(best.service.clone())
    }

    fn adopt(&mut self, targets: &[(Rc<str>, f64)]) {
        let same = self.parts.len() == targets.len()
            && self.parts.iter().zip(targets).all(|(p, t)| p.service == t.0 && p.weight == t.1);
        if same {
            return;
        }
        let credit = |service: &str| {
            self.parts.iter().find(|p| &*p.service == service).map_or(0.0, |p| p.credit)
        };
        self.parts = targets
            .iter()
            .map(|(service, weight)| Part {
                service: service.clone(),
                weight: weight.max(0.0),
                credit: credit(service),
            })
            .collect();
    }
}
