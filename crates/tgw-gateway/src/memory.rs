use std::{cell::Cell, rc::Rc};

/// Memory budget for buffered bodies, shared by all requests of a process.
///
/// Without it, a few hundred callers that each send the largest allowed body would need more memory
/// than a VM has, and the process would be killed with every request it holds.
#[derive(Clone, Debug)]
pub struct Budget(Rc<Cell<usize>>);

/// A share of a [`Budget`], released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of the given size.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        self.0.get()
    }

    /// Reserves memory; `None` if not enough is free.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let remaining = self.free_bytes().checked_sub(bytes)?;
        self.0.set(remaining);
        Some(Reservation { budget: self.clone(), bytes })
    }
}

impl Reservation {
    /// Extends the reservation; false if not enough memory is free.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.budget.reserve(bytes) else { return false };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.budget.0.set(self.budget.free_bytes() + excess);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.free_bytes() + self.bytes);
    }
}
