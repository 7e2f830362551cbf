//! Limits retries to a share of first attempts, so that they can't multiply the load.

/// Credit for each first attempt, in thousandths of a retry: one retry per 10 first attempts.
const CREDIT_PER_ATTEMPT_MILLI: u32 = 100;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u32 = 1_000;
/// Maximum credit, in thousandths of a retry: a burst of 10 retries.
const MAX_CREDIT_MILLI: u32 = 10_000;

/// Credit for retries, which starts full.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Current credit, in thousandths of a retry.
    credit_milli: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { credit_milli: MAX_CREDIT_MILLI }
    }
}

impl Budget {
    /// Adds the credit for one first attempt.
    pub fn earn(&mut self) {
        self.credit_milli = (self.credit_milli + CREDIT_PER_ATTEMPT_MILLI).min(MAX_CREDIT_MILLI);
    }

    /// Pays for one retry if the credit is sufficient. Returns whether the retry is allowed.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.credit_milli >= RETRY_COST_MILLI;
        if is_allowed {
            self.credit_milli -= RETRY_COST_MILLI;
        }
        is_allowed
    }
}
