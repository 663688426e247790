//! Memory that a host holds for callers and servers, within one budget.
//!
//! Bodies of requests and of responses take their bytes here before they are kept, and give them
//! back when they end. What finds none is refused at once. Lesser ranks leave a part of the budget
//! to the most urgent one, and all requests leave a part to responses, without which no request
//! could end.

use std::{cell::Cell, rc::Rc};

/// Share of the process's memory limit in the budget. The rest is for connections, the program and
/// the allocator's overhead.
const BUDGET_SHARE: f64 = 0.35;
/// Bytes that each body may always take, so that large bodies do not keep out small ones.
const GUARANTEED_BYTES: usize = 64 << 10;

/// Who holds memory, and up to which share of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemoryUse {
    /// Body of a request of the most urgent rank.
    UrgentRequest,
    /// Body of another request.
    Request,
    /// Body of a response.
    Response,
}

impl MemoryUse {
    /// Use for a request of this rank; 0 is the most urgent.
    pub fn for_priority(priority: u8) -> MemoryUse {
        if priority == 0 { MemoryUse::UrgentRequest } else { MemoryUse::Request }
    }

    fn share(self) -> f64 {
        match self {
            MemoryUse::Request => 0.7,
            MemoryUse::UrgentRequest => 0.8,
            MemoryUse::Response => 1.0,
        }
    }
}

/// Budget of a process, in bytes.
#[derive(Debug)]
pub struct MemoryBudget {
    total: usize,
    held: Cell<usize>,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `limit` bytes of memory.
    pub fn for_process(limit: u64) -> Rc<MemoryBudget> {
        let total = (limit as f64 * BUDGET_SHARE) as usize;
        Rc::new(MemoryBudget { total, held: Cell::new(0) })
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
        let held = self.budget.held.get() + length;
        let limit = (self.budget.total as f64 * self.usage.share()) as usize;
        if self.length + length > GUARANTEED_BYTES && held > limit {
            return false;
        }
        self.budget.held.set(held);
        self.length += length;
        true
    }

    /// Bytes taken.
    pub fn length(&self) -> usize {
        self.length
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.length);
    }
}
