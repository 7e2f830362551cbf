//! Bounds retries to a share of first tries, so that they can't multiply load.

/// Retries earned by each first try, in thousandths.
const EARNED_MILLI: u32 = 100;
/// Cost of one retry, in thousandths.
const RETRY_MILLI: u32 = 1_000;
/// Most that can be saved up, in thousandths: 10 retries.
const MAX_MILLI: u32 = 10_000;

/// Retries that may still be made.
#[derive(Clone, Debug)]
pub struct Budget {
    milli: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { milli: MAX_MILLI }
    }
}

impl Budget {
    /// Notes a first try.
    pub fn earn(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(MAX_MILLI);
    }

    /// Takes one retry, if the budget allows it.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.milli >= RETRY_MILLI;
        if is_allowed {
            self.milli -= RETRY_MILLI;
        }
        is_allowed
    }
}
