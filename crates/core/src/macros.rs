//! The small macros that give our types their common derives.

/// Declares a plain value type with the derives that all of ours share.
///
/// A value is cloned, compared, printed and stored, so these five go together.
#[macro_export]
macro_rules! record {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )+
    };
}

/// Declares a textual id as a newtype over a shared string.
///
/// The id is cheap to clone, and is parsed once at the border where it enters, so that a value
/// of the type is always well formed.
#[macro_export]
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident, $what:literal, $check:path) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde_with::SerializeDisplay, serde_with::DeserializeFromStr,
        )]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the id as text.
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
                    Err($crate::id::IdError::new($what, text))
                }
            }
        }
    };
}
