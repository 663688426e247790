//! The life of a request on an engine: what it holds, what it is charged, and its end.

use super::{
    PoolScheduler, RunningWork, SchedulerOutput, Site, WorkItem,
    cost::{DECODE_COST, memory_cost, memory_tokens, update_average},
    forecast,
};
use crate::{
    admission::AdmissionInput,
    key::{AccountKey, EngineKey, RankKey, WorkKey},
    time::Time,
};

impl PoolScheduler {
    pub(super) fn adopt(&mut self, now: Time, item: WorkItem, engine: EngineKey) {
        self.release(now, item.work);
        self.unqueue(item.work);
        self.rank(item.rank);
        if !self.open.contains_key(&item.work) {
            self.adopt_limits(now, &item);
        }
        self.open.entry(item.work).or_default().ran = true;
        let Some(book) = self.engines.get_mut(&engine) else { return };
        book.hold(&item);
        self.start(now, item, Site::Engine(engine), 0);
    }

    pub(super) fn start_group(&mut self, now: Time, item: WorkItem) {
        let prefill = item.prompt_tokens;
        self.start(now, item, Site::Group, prefill);
    }

    /// Notes that a request runs, and charges its account.
    pub(super) fn start(&mut self, now: Time, item: WorkItem, site: Site, prefill: u64) {
        let (work, account, rank) = (item.work, item.account, item.rank);
        let charged = if prefill == 0 { 0 } else { self.estimate(&item, prefill) };
        let weight = self.weight(account);
        let state = self.rank(rank);
        state.queue.open(account, weight);
        self.charge(rank, account, charged as i64);
        self.note_share(now, rank, account);
        self.deadlines.insert((item.deadline, work));
        *self.held.entry((account, rank)).or_default() += memory_tokens(&item);
        let first_token = if prefill == 0 { Some(now) } else { None };
        let (since, produced, stopping) = (now, 0, None);
        let entry =
            RunningWork { item, site, since, prefill, charged, first_token, produced, stopping };
        self.running.insert(work, entry);
    }

    pub(super) fn cancel(&mut self, now: Time, work: WorkKey, outputs: &mut Vec<SchedulerOutput>) {
        if self.unqueue(work).is_some() {
            return self.close(now, work);
        }
        self.stop(now, work, outputs);
    }

    /// Orders a running request to stop.
    pub(super) fn stop(&mut self, now: Time, work: WorkKey, outputs: &mut Vec<SchedulerOutput>) {
        let Some(running) = self.running.get_mut(&work) else { return };
        let was_stopping = running.stopping.replace(now).is_some();
        match running.site {
            Site::Group => outputs.push(SchedulerOutput::AbortGroup(work)),
            Site::Engine(engine) => {
                outputs.push(SchedulerOutput::Abort { work, engine });
                if !was_stopping && let Some(book) = self.engines.get_mut(&engine) {
                    book.leave(&running.item);
                }
            }
        }
    }

    /// Notes tokens. Returns whether they were the first, which ends a prefill.
    pub(super) fn progress(&mut self, now: Time, work: WorkKey, tokens: u64) -> bool {
        let Some(running) = self.running.get_mut(&work) else { return false };
        running.produced += tokens;
        let is_first = running.first_token.is_none();
        let (item, site, prefill) = (&running.item, running.site, running.prefill);
        let since = running.since;
        let (account, rank) = (item.account, item.rank);
        let mut cost = tokens * DECODE_COST;
        if is_first {
            running.first_token = Some(now);
            cost += prefill;
            if let Site::Engine(engine) = site
                && let Some(book) = self.engines.get_mut(&engine)
            {
                book.first_token(now, since, item, prefill);
            }
        }
        self.open.entry(work).or_default().produced += tokens;
        let spent_tokens = tokens + if is_first { prefill } else { 0 };
        self.spend(now, account, rank, cost, spent_tokens);
        is_first
    }

    /// Notes actual spending.
    pub(super) fn spend(
        &mut self,
        now: Time,
        account: AccountKey,
        rank: RankKey,
        cost: u64,
        tokens: u64,
    ) {
        self.pace.spend(cost);
        let usage = self.usage.entry((account, rank)).or_default();
        usage.0 += cost;
        usage.1 += tokens;
        if let Some(state) = self.ranks.get_mut(&rank) {
            state.recent.add(now, forecast::RECENT_SPAN, cost as f64);
            state.queue.note_use(now, account, cost);
        }
    }

    /// Ends a request: nothing is held or queued for it any more.
    pub(super) fn close(&mut self, now: Time, work: WorkKey) {
        self.unqueue(work);
        let finished = self.release(now, work);
        let produced = self.open.remove(&work).unwrap_or_default().produced;
        if let Some(running) = finished
            && running.stopping.is_none()
        {
            update_average(&mut self.rank(running.item.rank).typical_output, produced as f64, 0.05);
        }
        self.gate.step(now, AdmissionInput::Finished { work, produced_tokens: produced });
    }

    /// Gives back what a running request held and settles its cost.
    pub(super) fn release(&mut self, now: Time, work: WorkKey) -> Option<RunningWork> {
        let running = self.running.remove(&work)?;
        let item = &running.item;
        let (account, rank) = (item.account, item.rank);
        self.deadlines.remove(&(item.deadline, work));
        let need = memory_tokens(item);
        if let Some(held) = self.held.get_mut(&(account, rank)) {
            *held -= need;
            if *held == 0 {
                self.held.remove(&(account, rank));
            }
        }
        if let Site::Engine(engine) = running.site
            && let Some(book) = self.engines.get_mut(&engine)
        {
            book.release(now, item, running.stopping.is_some());
            if !book.owned && book.running == 0 {
                self.engines.remove(&engine);
            }
        }
        let span = now.since(running.since);
        let memory = memory_cost(need, span);
        self.spend(now, account, rank, memory, 0);
        let prefill = if running.first_token.is_some() { running.prefill } else { 0 };
        let actual = prefill + running.produced * DECODE_COST + memory;
        self.charge(rank, account, actual as i64 - running.charged as i64);
        if let Some(state) = self.ranks.get_mut(&rank) {
            state.queue.close(account);
        }
        self.note_times(now, &running);
        Some(running)
    }
}
