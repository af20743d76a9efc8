use std::{cell::Cell, rc::Rc};

/// Memory for the bodies that a process holds, shared by all requests.
///
/// A few hundred callers that each send the largest body allowed would otherwise need more memory than
/// a VM has, and the process would be killed with every request it holds.
#[derive(Clone, Debug)]
pub struct Room(Rc<Cell<usize>>);

/// A part of a [`Room`], given back when it is dropped.
#[derive(Debug)]
pub struct Taken {
    room: Room,
    bytes: usize,
}

impl Room {
    /// Room for so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Bytes that are free.
    pub fn free(&self) -> usize {
        self.0.get()
    }

    /// Takes so many bytes, if they are free.
    pub fn take(&self, bytes: usize) -> Option<Taken> {
        let left = self.free().checked_sub(bytes)?;
        self.0.set(left);
        Some(Taken { room: self.clone(), bytes })
    }
}

impl Taken {
    /// Takes more, if it is free.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.room.take(bytes) else { return false };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Gives back what is beyond `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let beyond = self.bytes.saturating_sub(bytes);
        self.bytes -= beyond;
        self.room.0.set(self.room.free() + beyond);
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.room.0.set(self.room.free() + self.bytes);
    }
}
