//! Memory that a host holds for callers and servers, within one budget.
//!
//! Bodies of requests and of responses take their bytes here before they are kept, and give them
//! back when they end. Requests, streams and connections take a fixed charge each for their
//! buffers. What finds none is refused at once. Lesser ranks leave a part of the budget to the most
//! urgent one, and all requests leave a part to responses, without which no request could end.
//! Bodies leave a reserve to the fixed charges, so that small requests are served beside large
//! bodies that nobody reads.

use std::{cell::Cell, rc::Rc};

/// Share of the process's memory limit in the budget. The rest is for connections, the program and
/// the allocator's overhead.
const BUDGET_SHARE: f64 = 0.35;
/// Bytes that each body of an admitted request may always take, so that large bodies do not keep
/// out small ones.
const GUARANTEED_BYTES: usize = 64 << 10;

/// Who holds memory, and up to which share of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemoryUse {
    /// Body of a request of the most urgent rank.
    UrgentRequest,
    /// Body of another request.
    Request,
    /// Body of a response, or an incomplete event of a stream.
    Response,
    /// Output that waits for its caller: a chunk of a stream, or what a connection has buffered.
    Output,
    /// Buffers of a request of another rank, besides its body.
    Work,
    /// Buffers of a request of the most urgent rank, besides its body.
    UrgentWork,
    /// Buffers of a caller's connection.
    Connection,
}

impl MemoryUse {
    /// Use for a request of this rank; 0 is the most urgent.
    pub fn for_priority(priority: u8) -> MemoryUse {
        if priority == 0 { MemoryUse::UrgentRequest } else { MemoryUse::Request }
    }

    /// Use for the buffers of a request of this rank, besides its body.
    pub fn for_work(priority: u8) -> MemoryUse {
        if priority == 0 { MemoryUse::UrgentWork } else { MemoryUse::Work }
    }

    fn share(self) -> f64 {
        match self {
            MemoryUse::Request => 0.7,
            MemoryUse::UrgentRequest => 0.8,
            MemoryUse::Response | MemoryUse::Output => 0.85,
            MemoryUse::Work => 0.95,
            MemoryUse::UrgentWork | MemoryUse::Connection => 1.0,
        }
    }

    /// Bytes that a holder may always take.
    fn guaranteed_bytes(self) -> usize {
        match self {
            MemoryUse::Request | MemoryUse::UrgentRequest | MemoryUse::Response => GUARANTEED_BYTES,
            _ => 0,
        }
    }

    /// Share of the budget up to which all fixed charges together may take it whatever bodies hold;
    /// `None` if this is no fixed charge. Connections leave a part to requests, and other requests
    /// to the most urgent ones.
    fn reserve(self) -> Option<f64> {
        match self {
            MemoryUse::Connection => Some(0.1),
            MemoryUse::Work => Some(0.13),
            MemoryUse::UrgentWork => Some(0.15),
            _ => None,
        }
    }
}

/// Budget of a process, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    total: usize,
    held: Cell<usize>,
    /// Bytes of `held` that are fixed charges.
    fixed: Cell<usize>,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `limit` bytes of memory.
    pub fn for_process(limit: u64) -> Rc<MemoryBudget> {
        let total = (limit as f64 * BUDGET_SHARE) as usize;
        Rc::new(MemoryBudget { total, held: Cell::new(0), fixed: Cell::new(0) })
    }

    /// Bytes of the budget.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Bytes that are held now.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Creates a holder without any bytes.
    pub fn holder(self: &Rc<Self>, usage: MemoryUse) -> HeldMemory {
        HeldMemory { budget: self.clone(), usage, length: 0 }
    }
}

/// Bytes taken from a budget; dropping it gives them back.
#[derive(Debug)]
pub struct HeldMemory {
    budget: Rc<MemoryBudget>,
    usage: MemoryUse,
    length: usize,
}

impl HeldMemory {
    /// Whether the budget has `length` more bytes for this use; takes them if so.
    pub fn try_take(&mut self, length: usize) -> bool {
        let budget = &self.budget;
        let is_within =
            |held: usize, share: f64| held + length <= (budget.total as f64 * share) as usize;
        let may_take = self.length + length <= self.usage.guaranteed_bytes()
            || is_within(budget.held.get(), self.usage.share())
            || self.usage.reserve().is_some_and(|share| is_within(budget.fixed.get(), share));
        if may_take {
            self.count(self.length + length);
        }
        may_take
    }

    /// Whether the budget has room for `length` bytes in place of those held; holds them if so.
    pub fn try_resize(&mut self, length: usize) -> bool {
        if length > self.length {
            return self.try_take(length - self.length);
        }
        self.count(length);
        true
    }

    /// Holds `length` bytes in place of those held before, whatever the budget has. For bytes that
    /// are buffered already: what comes next then finds less room.
    pub fn count(&mut self, length: usize) {
        let replace = |cell: &Cell<usize>| cell.set(cell.get() - self.length + length);
        replace(&self.budget.held);
        if self.usage.reserve().is_some() {
            replace(&self.budget.fixed);
        }
        self.length = length;
    }

    /// Gives the bytes back.
    pub fn release(self) {
        drop(self);
    }

    /// Bytes taken.
    pub fn length(&self) -> usize {
        self.length
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.count(0);
    }
}
