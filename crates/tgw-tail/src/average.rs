/// An exponentially weighted average of milliseconds.
#[derive(Copy, Clone, Debug)]
pub struct Average {
    value: f64,
    weight: f64,
    seen: bool,
}

impl Average {
    /// An average that starts at `start` and gives each later sample `weight` (0 to 1).
    pub fn new(start: f64, weight: f64) -> Self {
        Self { value: start, weight, seen: false }
    }

    /// Takes one sample in; the first replaces the starting value.
    pub fn add(&mut self, sample: f64) {
        if self.seen {
            self.value += self.weight * (sample - self.value);
        } else {
            self.value = sample;
            self.seen = true;
        }
    }

    /// The current average.
    pub fn get(&self) -> f64 {
        self.value
    }
}
