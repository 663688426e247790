//! Attribute macros that expand to the derive sets shared by all packages.
//!
//! Each macro puts one `#[derive(...)]` in front of the item, so the item itself stays plain Rust
//! and is formatted as such.

use proc_macro::TokenStream;

/// Derives the traits of a small `Copy` key: comparison, ordering, hashing and serialization.
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

/// Derives the traits of a plain value: cloning, debugging and equality.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq", item)
}

/// Derives the traits of a message or document: those of a value plus serialization.
#[proc_macro_attribute]
pub fn message(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize", item)
}

fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream =
        format!("#[derive({traits})]").parse().expect("derive lists are valid Rust");
    tokens.extend(item);
    tokens
}
