#include "galenawell/settings/settingsfolder.h"
#include "unit/settings/temporaryfolder.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

void assertFails(const TemporaryFolder &folder, ErrorKind kind, const std::string &expected)
{
    const Result<MergedFolder> merged = readSettingsFolder(folder.path);
    cr_assert(merged.has_error());
    cr_assert(merged.error().kind == kind, "wrong kind: %s", merged.error().detail.c_str());
    cr_assert(merged.error().detail.find(expected) != std::string::npos, "unexpected: %s", merged.error().detail.c_str());
}

} // namespace

// Guards against merging by modification time or folder order, and against comments being refused.
Test(settingsfolder, later_names_override_earlier_ones)
{
    const TemporaryFolder folder;
    folder.write("20-site.json", R"({"a": {"x": 2}, /* note */ "list": [9]})");
    folder.write("10-base.json", "// base\n{\"a\": {\"x\": 1, \"y\": 1}, \"list\": [1, 2]}");
    folder.write("README.md", "not JSON");
    folder.write(".20-site.json", "an editor's copy");
    const Result<MergedFolder> merged = readSettingsFolder(folder.path);
    cr_assert(merged.has_value());
    cr_assert(merged.value().document == nlohmann::json::parse(R"({"a": {"x": 2, "y": 1}, "list": [9]})"));
}

// Guards against a message that names a file whose value another file has overridden.
Test(settingsfolder, the_origin_is_the_file_that_last_set_a_value)
{
    const TemporaryFolder folder;
    folder.write("10.json", R"({"a": {"x": 1, "y": 1}, "gone": {"z": 1}, "list": [{"k": 1}]})");
    folder.write("20.json", R"({"a": {"x": 2}, "gone": null})");
    folder.write("30.json", R"({"gone": 5})");
    const Result<MergedFolder> result = readSettingsFolder(folder.path);
    cr_assert(result.has_value());
    const MergedFolder &merged = result.value();
    cr_assert(merged.originOf("/a/x").ends_with("20.json"));
    cr_assert(merged.originOf("/a/y").ends_with("10.json"));
    cr_assert(merged.originOf("/gone").ends_with("30.json"));
    cr_assert(merged.originOf("/gone/z").ends_with("30.json"));
    cr_assert(merged.originOf("/list/0/k").ends_with("10.json"));
    cr_assert(merged.originOf("/absent") == folder.path.string());
}

// Guards against the merge differing from the library's own RFC 7396 implementation, with nulls and type changes.
Test(settingsfolder, the_merge_follows_rfc_7396)
{
    const std::string base = R"({"a": {"b": {"c": 1}}, "d": [1], "e": 3, "f": {"g": 1}})";
    const std::string patch = R"({"a": {"b": 5, "n": {"m": null, "o": 1}}, "d": {"x": null}, "e": null, "f": {"g": null}})";
    const TemporaryFolder folder;
    folder.write("1.json", base);
    folder.write("2.json", patch);
    nlohmann::json expected = nlohmann::json::parse(base);
    expected.merge_patch(nlohmann::json::parse(patch));
    const Result<MergedFolder> merged = readSettingsFolder(folder.path);
    cr_assert(merged.has_value());
    cr_assert(merged.value().document == expected);
}

// Guards against the parser's default of silently using the last of two equal keys.
Test(settingsfolder, a_key_that_occurs_twice_is_refused_with_its_pointer)
{
    const TemporaryFolder folder;
    folder.write("10.json", R"({"a": [{"x": 1}, {"x/y": 1, "z": {}, "x/y": 2}]})");
    assertFails(folder, ErrorKind::MalformedJson, "10.json: /a/1/x~1y: occurs twice");
}

// Guards against syntax errors without a position.
Test(settingsfolder, malformed_json_names_file_and_line)
{
    const TemporaryFolder folder;
    folder.write("10.json", "{\n\"a\": 1,\n}");
    assertFails(folder, ErrorKind::MalformedJson, "10.json: parse error at line 3");
}

// Guards against a top-level array or scalar replacing the whole document.
Test(settingsfolder, a_file_must_hold_an_object)
{
    const TemporaryFolder folder;
    folder.write("10.json", "[1]");
    assertFails(folder, ErrorKind::MalformedJson, "must be an object");
}

// Guards against silently skipping a file. A dangling link is unreadable for every user, root included.
Test(settingsfolder, an_unreadable_file_is_named)
{
    const TemporaryFolder folder;
    folder.write("10.json", "{}");
    std::filesystem::create_symlink(folder.path / "absent", folder.path / "20.json");
    assertFails(folder, ErrorKind::UnreadableFile, "20.json: is not a readable file");
}

// Guards against a mistyped folder name being read as an empty configuration.
Test(settingsfolder, a_folder_without_files_is_refused)
{
    const TemporaryFolder folder;
    assertFails(folder, ErrorKind::UnreadableFile, "has no *.json file");
    cr_assert(readSettingsFolder(folder.path / "absent").has_error());
}

// Guards against memory use by a misplaced file, such as a log.
Test(settingsfolder, a_file_above_the_size_limit_is_refused)
{
    const TemporaryFolder folder;
    folder.write("10.json", "{}" + std::string(maximumSettingsFileBytes, ' '));
    assertFails(folder, ErrorKind::UnreadableFile, "must have at most 8388608 bytes");
}

// Guards against a stack overflow on a deeply nested file.
Test(settingsfolder, deep_nesting_is_refused)
{
    const TemporaryFolder folder;
    std::string text;
    for (int level = 0; level < 100'000; ++level) {
        text += "{\"a\":";
    }
    folder.write("10.json", text + "1" + std::string(100'000, '}'));
    assertFails(folder, ErrorKind::MalformedJson, "must be nested at most 32 levels deep");
}
