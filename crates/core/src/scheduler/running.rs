//! Accounting of running requests: the memory that they hold, the cost that they are charged, and
//! their end.

use super::{
    PoolScheduler, RunningWork, SchedulerOutput, WorkItem, WorkSite,
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
            self.count_adopted(now, &item);
        }
        self.open.entry(item.work).or_default().ran = true;
        let Some(tracker) = self.engines.get_mut(&engine) else { return };
        tracker.hold_resources(&item);
        self.start(now, item, WorkSite::Engine(engine), 0);
    }

    pub(super) fn start_group(&mut self, now: Time, item: WorkItem) {
        let prefill = item.prompt_tokens;
        self.start(now, item, WorkSite::Group, prefill);
    }

    /// Records that a request runs and charges its account the estimated cost. A prefill of 0 marks
    /// an adopted request, which was charged by the host that sent it.
    pub(super) fn start(&mut self, now: Time, item: WorkItem, site: WorkSite, prefill: u64) {
        let (work, account, rank) = (item.work, item.account, item.rank);
        let charged = if prefill == 0 { 0 } else { self.estimate_cost(&item, prefill) };
        let weight = self.weight(account);
        let state = self.rank(rank);
        state.queue.open_request(account, weight);
        self.charge(rank, account, charged as i64);
        self.update_share_order(now, rank, account);
        self.deadlines.insert((item.deadline, work));
        *self.held_tokens.entry((account, rank)).or_default() += memory_tokens(&item);
        let first_token = if prefill == 0 { Some(now) } else { None };
        let entry = RunningWork {
            item,
            site,
            started_at: now,
            prefill_tokens: prefill,
            charged_cost: charged,
            first_token,
            produced_tokens: 0,
            stop_sent_at: None,
        };
        self.running.insert(work, entry);
    }

    pub(super) fn cancel(&mut self, now: Time, work: WorkKey, outputs: &mut Vec<SchedulerOutput>) {
        if self.unqueue(work).is_some() {
            return self.end_work(now, work);
        }
        self.stop(now, work, outputs);
    }

    /// Cancels a running request. It stays tracked until the engine confirms.
    pub(super) fn stop(&mut self, now: Time, work: WorkKey, outputs: &mut Vec<SchedulerOutput>) {
        let Some(running) = self.running.get_mut(&work) else { return };
        let was_stopping = running.stop_sent_at.replace(now).is_some();
        match running.site {
            WorkSite::Group => outputs.push(SchedulerOutput::AbortGroup(work)),
            WorkSite::Engine(engine) => {
                outputs.push(SchedulerOutput::Abort { work, engine });
                if !was_stopping && let Some(tracker) = self.engines.get_mut(&engine) {
                    tracker.mark_stopping(&running.item);
                }
            }
        }
    }

    /// Records generated tokens. Returns whether they were the first ones, which end the prefill.
    pub(super) fn progress(&mut self, now: Time, work: WorkKey, tokens: u64) -> bool {
        let Some(running) = self.running.get_mut(&work) else { return false };
        running.produced_tokens += tokens;
        let is_first = running.first_token.is_none();
        let (item, site, prefill) = (&running.item, running.site, running.prefill_tokens);
        let since = running.started_at;
        let (account, rank) = (item.account, item.rank);
        let mut cost = tokens * DECODE_COST;
        if is_first {
            running.first_token = Some(now);
            cost += prefill;
            if let WorkSite::Engine(engine) = site
                && let Some(tracker) = self.engines.get_mut(&engine)
            {
                tracker.record_first_token(now, since, item, prefill);
            }
        }
        self.open.entry(work).or_default().produced += tokens;
        let spent_tokens = tokens + if is_first { prefill } else { 0 };
        self.record_spending(now, account, rank, cost, spent_tokens);
        is_first
    }

    /// Records cost and tokens that were actually spent.
    pub(super) fn record_spending(
        &mut self,
        now: Time,
        account: AccountKey,
        rank: RankKey,
        cost: u64,
        tokens: u64,
    ) {
        self.cost_meter.add_cost(cost);
        let usage = self.usage.entry((account, rank)).or_default();
        usage.0 += cost;
        usage.1 += tokens;
        if let Some(state) = self.ranks.get_mut(&rank) {
            state.recent_cost.add(now, forecast::RECENT_SPAN, cost as f64);
            state.queue.record_use(now, account, cost);
        }
    }

    /// Ends a request and releases everything that is queued or held for it.
    pub(super) fn end_work(&mut self, now: Time, work: WorkKey) {
        self.unqueue(work);
        let finished = self.release(now, work);
        let produced = self.open.remove(&work).unwrap_or_default().produced;
        if let Some(running) = finished
            && running.stop_sent_at.is_none()
        {
            update_average(
                &mut self.rank(running.item.rank).mean_output_tokens,
                produced as f64,
                0.05,
            );
        }
        self.admission.step(now, AdmissionInput::Finished { work, produced_tokens: produced });
    }

    /// Releases what a running request holds and charges the difference between its actual and its
    /// estimated cost.
    pub(super) fn release(&mut self, now: Time, work: WorkKey) -> Option<RunningWork> {
        let running = self.running.remove(&work)?;
        let item = &running.item;
        let (account, rank) = (item.account, item.rank);
        self.deadlines.remove(&(item.deadline, work));
        let need = memory_tokens(item);
        if let Some(held) = self.held_tokens.get_mut(&(account, rank)) {
            *held -= need;
            if *held == 0 {
                self.held_tokens.remove(&(account, rank));
            }
        }
        if let WorkSite::Engine(engine) = running.site
            && let Some(tracker) = self.engines.get_mut(&engine)
        {
            tracker.release(now, item, running.stop_sent_at.is_some());
            if !tracker.is_owned && tracker.running == 0 {
                self.engines.remove(&engine);
            }
        }
        let span = now.since(running.started_at);
        let memory = memory_cost(need, span);
        self.record_spending(now, account, rank, memory, 0);
        let prefill = if running.first_token.is_some() { running.prefill_tokens } else { 0 };
        let actual = prefill + running.produced_tokens * DECODE_COST + memory;
        self.charge(rank, account, actual as i64 - running.charged_cost as i64);
        if let Some(state) = self.ranks.get_mut(&rank) {
            state.queue.close_request(account);
        }
        self.record_durations(now, &running);
        Some(running)
    }
}
