//! A log event is one line of fields.

use poplar_base::log;

#[test]
fn values_that_are_not_one_word_are_quoted() {
    let event = log::error("refused")
        .request("k1")
        .workspace("two words")
        .class("a=b")
        .reason("line\nbreak \"x\"");
    let line =
        r#"event=refused request=k1 workspace="two words" class="a=b" reason="line\nbreak \"x\"""#;
    assert_eq!(event.text(), line);
    assert!(log::debug("hidden").reason("x").text().is_empty());
}
