//! Chooses which borrowers to evict when an organisation reclaims its guarantee.

use std::time::Duration;

use sapphire_wire::{id, resource};

/// Tasks of one attempt on a worker that run on borrowed accelerators and may be evicted.
#[derive(Clone, Debug)]
pub struct Borrower {
    /// Attempt that the tasks belong to.
    pub attempt: id::Attempt,
    /// Resources that it uses on this worker.
    pub need: resource::Amount,
    /// Time since it started; zero if it has not started.
    pub ran: Duration,
    /// Number of accelerators of its complete gang, which ends with it.
    pub gang: u32,
}

/// Order in which borrowers are evicted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// Those first whose eviction loses the least accelerator time: run time multiplied by the
    /// accelerators of the gang.
    #[default]
    Youngest,
    /// Those with the fewest accelerators first; the youngest first among equals.
    Smallest,
}

impl Borrower {
    /// Cost of the eviction, as a sort key.
    fn cost(&self, order: Order) -> (u128, u128) {
        let gang = u128::from(self.gang.max(1));
        let lost = self.ran.as_micros() * gang;
        match order {
            Order::Youngest => (lost, gang),
            Order::Smallest => (gang, lost),
        }
    }
}

/// Chooses the cheapest borrowers whose eviction frees enough resources, and none that is not
/// needed. Chooses none if all of them together would not be enough, since an eviction that does
/// not let a gang start only loses work.
pub fn choose(
    mut borrowers: Vec<Borrower>,
    order: Order,
    free: &resource::Amount,
    need: &resource::Amount,
) -> Vec<id::Attempt> {
    borrowers.sort_by(|left, right| {
        (left.cost(order), &left.attempt).cmp(&(right.cost(order), &right.attempt))
    });
    let mut available = *free;
    let mut chosen = Vec::new();
    for borrower in borrowers {
        if available.holds(need) {
            break;
        }
        available = available.plus(&borrower.need);
        chosen.push(borrower);
    }
    if !available.holds(need) {
        return Vec::new();
    }
    drop_unneeded(&mut chosen, available, need);
    chosen.into_iter().map(|borrower| borrower.attempt).collect()
}

/// Removes borrowers from the choice whose eviction is not needed, the most expensive first.
fn drop_unneeded(
    chosen: &mut Vec<Borrower>,
    mut available: resource::Amount,
    need: &resource::Amount,
) {
    for index in (0..chosen.len()).rev() {
        let without = available.minus(&chosen[index].need);
        if without.holds(need) {
            available = without;
            chosen.remove(index);
        }
    }
}
