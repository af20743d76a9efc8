/// An exponentially weighted moving average, in milliseconds.
#[derive(Copy, Clone, Debug)]
pub struct Average {
    value: f64,
    weight: f64,
    has_sample: bool,
}

impl Average {
    /// An average that starts at `initial` and gives each sample after the first `weight` (0 to 1).
    pub fn new(initial: f64, weight: f64) -> Self {
        Self { value: initial, weight, has_sample: false }
    }

    /// Adds one sample; the first replaces the initial value.
    pub fn add(&mut self, sample: f64) {
        if self.has_sample {
            self.value += self.weight * (sample - self.value);
        } else {
            self.value = sample;
            self.has_sample = true;
        }
    }

    /// The current average.
    pub fn get(&self) -> f64 {
        self.value
    }
}
