use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use tgw_owner::{Member, State};
use tgw_topology::Vm;

/// What is known of one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM.
    pub vm: Vm,
    /// Its life, place, address and state.
    pub member: Member,
}

impl Record {
    /// Whether this word counts more than `other`, which is about the same VM: a later life or
    /// refutation does, and within one the graver state.
    pub fn supersedes(&self, other: &Self) -> bool {
        let life = self.member.incarnation.cmp(&other.member.incarnation);
        match life {
            Ordering::Equal => gravity(self.member.state) > gravity(other.member.state),
            order => order == Ordering::Greater,
        }
    }
}

/// A state may be followed only by a graver one, unless the VM itself refutes it with a higher
/// incarnation.
fn gravity(state: State) -> u8 {
    match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Leaving => 2,
        State::Dead => 3,
    }
}
