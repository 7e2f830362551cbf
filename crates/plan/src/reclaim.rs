//! Chooses borrowers to evict.

use std::time::Duration;

use sapphire_wire::{id, resource};

/// A borrower that may be evicted.
#[derive(Clone, Debug)]
pub struct Borrower {
    /// Its attempt.
    pub attempt: id::Attempt,
    /// What it takes here.
    pub need: resource::Amount,
    /// How long it has run; zero when it has not started.
    pub ran: Duration,
    /// Accelerators of its whole gang, which ends with it.
    pub gang: u32,
}

/// Which borrowers go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// Those whose eviction may lose the least accelerator time: the youngest, by size.
    #[default]
    Youngest,
    /// Those with the fewest accelerators, the youngest of them first.
    Smallest,
}

impl Borrower {
    /// Cost of its eviction; the first part counts first.
    fn cost(&self, order: Order) -> (u128, u128) {
        let gang = u128::from(self.gang.max(1));
        let lost = self.ran.as_micros() * gang;
        match order {
            Order::Youngest => (lost, gang),
            Order::Smallest => (gang, lost),
        }
    }
}

/// The cheapest borrowers that together make room, and none that is not needed; empty when all
/// of them would not be enough, since an eviction that starts nothing only loses work.
pub fn choose(
    mut borrowers: Vec<Borrower>,
    order: Order,
    free: &resource::Amount,
    need: &resource::Amount,
) -> Vec<id::Attempt> {
    borrowers.sort_by(|left, right| {
        (left.cost(order), &left.attempt).cmp(&(right.cost(order), &right.attempt))
    });
    let mut room = *free;
    let mut chosen = Vec::new();
    for borrower in borrowers {
        if room.holds(need) {
            break;
        }
        room = room.plus(&borrower.need);
        chosen.push(borrower);
    }
    if !room.holds(need) {
        return Vec::new();
    }
    spare(&mut chosen, room, need);
    chosen.into_iter().map(|borrower| borrower.attempt).collect()
}

/// Takes back the dearest ones that turn out not to be needed.
fn spare(chosen: &mut Vec<Borrower>, mut room: resource::Amount, need: &resource::Amount) {
    for index in (0..chosen.len()).rev() {
        let without = room.minus(&chosen[index].need);
        if without.holds(need) {
            room = without;
            chosen.remove(index);
        }
    }
}
