//! Macros that declare value types and textual ids with their common derives.

/// Declares plain value types that can be cloned, printed, compared and serialized.
///
/// Each item gets `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`. Names of
/// fields and variants are therefore part of the stored and transmitted format.
#[macro_export]
macro_rules! record {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )+
    };
}

/// Declares a textual id as a newtype over a reference-counted string.
///
/// Cloning is cheap. The text is validated by `$check` when it is parsed, so a value of the type
/// is always well formed; `$kind` names the id in the [`IdError`](crate::id::IdError) of a text
/// that fails the check.
#[macro_export]
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident, $kind:literal, $check:path) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde_with::SerializeDisplay, serde_with::DeserializeFromStr,
        )]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the id as it is written in rules, paths and headers.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if $check(text) {
                    Ok(Self(text.into()))
                } else {
                    Err($crate::id::IdError::new($kind, text))
                }
            }
        }
    };
}
