//! Attribute macros for the sets of derived traits that the packages share.
//!
//! Each macro prepends one `#[derive(...)]` attribute and leaves the item itself unchanged, so
//! rustfmt formats the item as usual. The macros take no arguments; any that are given are ignored.

use proc_macro::TokenStream;

/// Derives the traits of a small type used as a map key or identifier.
///
/// These are `Clone`, `Copy`, `Debug`, `PartialEq`, `Eq`, `PartialOrd`, `Ord`, `Hash`, `Serialize`
/// and `Deserialize`. The derived ordering follows the declaration order of fields and variants.
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives `Clone`, `Debug` and `PartialEq`, for values that are neither keys nor serialized.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq", item)
}

/// Derives the traits of [`value`](macro@value) and also `Serialize` and `Deserialize`, for
/// messages between hosts, documents and other stored data.
///
/// `postcard` encodes fields and variants by position, so reordering them breaks compatibility with
/// other hosts and with stored data.
#[proc_macro_attribute]
pub fn message(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize", item)
}

/// Prepends `#[derive(...)]` with the given traits to an item.
fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream =
        format!("#[derive({traits})]").parse().expect("derive attribute should be valid Rust");
    tokens.extend(item);
    tokens
}
