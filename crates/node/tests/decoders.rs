//! No input from outside may make a decoder panic or allocate without bound.

use std::sync::Arc;

use arbtest::arbtest;
use futures_lite::{future::block_on, io::Cursor};
use parsley_core::{config::ConfigDelta, member::MemberMessage, token::TokenSigner};
use parsley_node::{
    error::NodeError,
    peer::{
        datagram::PeerDatagram,
        frame::{MAX_HELLO_BYTES, PeerFrame, read_frame, read_hello},
    },
};

/// Guards against a panic on a frame or datagram of any content.
#[test]
fn no_message_panics() {
    arbtest(|u| {
        let bytes = u.arbitrary::<&[u8]>()?;
        drop(postcard::from_bytes::<PeerFrame>(bytes));
        drop(postcard::from_bytes::<PeerDatagram>(bytes));
        drop(postcard::from_bytes::<MemberMessage>(bytes));
        drop(serde_json::from_slice::<ConfigDelta>(bytes));
        drop(block_on(read_frame(&mut Cursor::new(bytes))));
        let mut frame = u32::try_from(bytes.len()).unwrap_or(0).to_le_bytes().to_vec();
        frame.extend_from_slice(bytes);
        drop(block_on(read_frame(&mut Cursor::new(&frame))));
        Ok(())
    });
}

/// Guards against somebody without the peer key who makes a host allocate a large frame.
#[test]
fn first_frame_is_small() {
    let length = u32::try_from(MAX_HELLO_BYTES + 1).unwrap().to_le_bytes();
    let result = block_on(read_hello(&mut Cursor::new(length)));
    assert!(matches!(result, Err(NodeError::Protocol(_))), "{result:?}");
    let hello =
        PeerFrame::Hello { from: Arc::from("h".repeat(63)), time_ms: u64::MAX, tag: [7; 32] };
    assert!(postcard::to_stdvec(&hello).unwrap().len() <= MAX_HELLO_BYTES);
}

/// Guards against a panic on a damaged continuation token, and against one that is accepted.
#[test]
fn damaged_token_is_not_accepted() {
    let signer = TokenSigner::new("a long shared secret");
    arbtest(|u| {
        assert!(signer.check(u.arbitrary::<&str>()?, 0).is_none());
        Ok(())
    });
}
