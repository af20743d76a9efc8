use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::rc::Rc;

/// The regions in which requests, including their bodies, may be served, cached and stored. Built from an
/// empty list it allows all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency(Option<SmallVec<[Rc<str>; 2]>>);

impl Residency {
    /// Whether a request may be sent to a region; `None` is an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.0 else { return true };
        region.is_some_and(|region| regions.iter().any(|home| **home == *region))
    }

    /// Whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// The regions that both allow, which may be none.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        let (Some(regions), Some(_)) = (&self.0, &other.0) else {
            return if self.is_unrestricted() { other.clone() } else { self.clone() };
        };
        let common = regions.iter().filter(|region| other.allows(Some(region)));
        Self(Some(common.cloned().collect()))
    }
}

impl FromIterator<Rc<str>> for Residency {
    fn from_iter<I: IntoIterator<Item = Rc<str>>>(regions: I) -> Self {
        let regions: SmallVec<[Rc<str>; 2]> = regions.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }
}
