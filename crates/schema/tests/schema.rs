//! Checks that the committed code is the code that the schema generates.

use std::{env, fs, path};

const FILES: [&str; 3] = ["jobs", "wire", "settings"];

/// Generates the code of all schema files into a temporary directory and returns it.
fn generate() -> Vec<String> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let sources = FILES.map(|name| root.join("proto").join(name).with_extension("proto"));
    let descriptors =
        protox::compile(sources, [root.join("proto")]).expect("the schema must compile");
    let mut config = prost_build::Config::new();
    config.out_dir(out).bytes(["."]).format(false);
    config.compile_fds(descriptors).expect("cannot generate code from the schema");
    FILES
        .iter()
        .map(|name| fs::read_to_string(out.join(name).with_extension("rs")))
        .map(|text| text.expect("cannot read the generated code"))
        .collect()
}

#[test]
fn committed_code_is_fresh() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    for (name, text) in FILES.iter().zip(generate()) {
        let file = root.join(name).with_extension("rs");
        if env::var_os("SAPPHIRE_WRITE_SCHEMA").is_some() {
            fs::write(&file, &text).expect("cannot write to src/generated");
        }
        let committed = fs::read_to_string(&file).unwrap_or_default();
        assert!(
            committed == text,
            "src/generated/{name}.rs is out of date: run this test with SAPPHIRE_WRITE_SCHEMA=1"
        );
    }
}
