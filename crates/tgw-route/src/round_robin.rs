use std::rc::Rc;

/// Smooth weighted round robin: distributes requests over services so that every prefix of the
/// sequence is close to the weights.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    entries: Vec<Entry>,
}

/// A service with its weight.
#[derive(Clone, Debug)]
struct Entry {
    service: Rc<str>,
    weight: f64,
    /// How far the service is behind its share: grows by `weight` with each choice, and falls by the
    /// sum of all weights when the service is chosen. The highest credit is chosen next.
    credit: f64,
}

impl RoundRobin {
    /// The next service of `targets`, or `None` if no weight is positive. Credits are kept when the
    /// weights change, so that a new version of the configuration does not restart the sequence.
    pub fn next(&mut self, targets: &[(Rc<str>, f64)]) -> Option<Rc<str>> {
        self.set_targets(targets);
        let total: f64 = self.entries.iter().map(|e| e.weight).sum();
        for entry in &mut self.entries {
            entry.credit += entry.weight;
        }
        let best = self
            .entries
            .iter_mut()
            .filter(|e| e.weight > 0.0)
            .max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        best.credit -= total;
        Some(best.service.clone())
    }

    fn set_targets(&mut self, targets: &[(Rc<str>, f64)]) {
        let unchanged = self.entries.len() == targets.len()
            && self.entries.iter().zip(targets).all(|(e, t)| e.service == t.0 && e.weight == t.1);
        if unchanged {
            return;
        }
        let credit = |service: &str| {
            self.entries.iter().find(|e| &*e.service == service).map_or(0.0, |e| e.credit)
        };
        self.entries = targets
            .iter()
            .map(|(service, weight)| Entry {
                service: service.clone(),
                weight: weight.max(0.0),
                credit: credit(service),
            })
            .collect();
    }
}
