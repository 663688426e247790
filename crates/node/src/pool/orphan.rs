//! Cancels orphaned streams on owned engines, which frees their memory.

use std::time::Duration;

use async_io::Timer;
use parsley_core::{
    key::EngineKey,
    request::{OrphanInput, OrphanOutput},
};

use super::{group, stream::address};
use crate::{adapter::engine, event, host::HostRef};

/// Time between two listings of an engine's streams.
const LIST_PERIOD: Duration = Duration::from_secs(2);

pub(super) async fn list_loop(host: HostRef) {
    loop {
        Timer::after(LIST_PERIOD).await;
        let owned: Vec<_> = host.state.borrow().pool.owned.keys().copied().collect();
        for engine in owned {
            host.spawn(cancel_orphans(host.clone(), engine));
        }
    }
}

async fn cancel_orphans(host: HostRef, engine: EngineKey) {
    let Some(address) = address(&host, engine) else { return };
    // An engine that does not answer is listed again in the next period.
    let Ok(streams) = engine::list_streams(&address).await else { return };
    let outputs = {
        let mut state = host.state.borrow_mut();
        let pool = &state.pool;
        let mut local_streams = pool.streams.claimed_streams();
        let groups = group::stream_ids(&state);
        let is_segment =
            |stream: &str| stream.split_once('-').is_some_and(|(base, _)| groups.contains(base));
        let listed = streams.iter().map(|listed| &listed.stream);
        local_streams.extend(listed.filter(|stream| is_segment(stream)).cloned());
        let live = state.members.live().skip(1).map(|member| member.name.clone()).collect();
        let input = OrphanInput::Listed { engine, streams, live_hosts: live, local_streams };
        state.pool.orphans.step(host.now(), input)
    };
    for OrphanOutput::Cancel { stream, owner, .. } in outputs {
        event!(host.log, ORPHAN_CANCELLED, "stream" => &*stream, "owner" => &*owner);
        // If the cancellation fails, the next listing includes the stream again.
        let _ = engine::cancel(&address, &stream, &owner).await;
    }
}
