use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use tgw_owner::{Member, State};
use tgw_topology::Vm;

/// What is known of one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM.
    pub vm: Vm,
    /// Its incarnation, place, address and state.
    pub member: Member,
}

impl Record {
    /// Whether this record supersedes `other`, which is about the same VM: a higher incarnation (a
    /// restart or a refutation) does, and within one incarnation the more severe state.
    pub fn supersedes(&self, other: &Self) -> bool {
        let incarnation = self.member.incarnation.cmp(&other.member.incarnation);
        match incarnation {
            Ordering::Equal => severity(self.member.state) > severity(other.member.state),
            order => order == Ordering::Greater,
        }
    }
}

/// Within one incarnation only a more severe state may follow; the VM itself refutes a state with a
/// higher incarnation.
fn severity(state: State) -> u8 {
    match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Leaving => 2,
        State::Dead => 3,
    }
}
