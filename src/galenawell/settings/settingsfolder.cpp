#include "galenawell/settings/settingsfolder.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <fstream>
#include <iterator>
#include <set>
#include <vector>

namespace Galenawell {

namespace Detail {

namespace {

using Json = nlohmann::json;

// The schemas need 6 levels; merging recurses, so the depth must have a limit.
constexpr std::size_t maximumDepth = 32;

// Finds keys that occur twice in one object, which the parser would accept silently with the last value, and documents
// that are nested too deeply.
class StructureValidator
{
public:
    // The signature of nlohmann's parser callback.
    bool handle(Json::parse_event_t event, const Json &parsed)
    {
        switch (event) {
        case Json::parse_event_t::object_start:
            this->beginElement();
            this->beginLevel(false);
            break;
        case Json::parse_event_t::array_start:
            this->beginElement();
            this->beginLevel(true);
            break;
        case Json::parse_event_t::key:
            this->addKey(parsed.get<std::string>());
            break;
        case Json::parse_event_t::object_end:
        case Json::parse_event_t::array_end:
            this->levels.pop_back();
            break;
        case Json::parse_event_t::value:
            this->beginElement();
            break;
        }
        return true;
    }

    bool tooDeep() const
    {
        return this->maximumLevel > maximumDepth;
    }

    // Pointer of the first duplicate; empty if there is none.
    const std::string &duplicate() const
    {
        return this->firstDuplicate;
    }

private:
    struct Level
    {
        bool array = false;
        std::size_t elements = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void beginLevel(bool array)
    {
        this->levels.emplace_back();
        this->levels.back().array = array;
        this->maximumLevel = std::max(this->maximumLevel, this->levels.size());
    }

    void beginElement()
    {
        if (!this->levels.empty() && this->levels.back().array) {
            Level &level = this->levels.back();
            level.key = std::to_string(level.elements);
            ++level.elements;
        }
    }

    void addKey(const std::string &key)
    {
        Level &level = this->levels.back();
        level.key = key;
        const bool added = level.keys.insert(key).second;
        if (!added && this->firstDuplicate.empty()) {
            this->firstDuplicate = this->currentPointer();
        }
    }

    std::string currentPointer() const
    {
        std::string pointer;
        for (const Level &level : this->levels) {
            pointer = childPointer(pointer, level.key);
        }
        return pointer;
    }

    std::vector<Level> levels;
    std::size_t maximumLevel = 0;
    std::string firstDuplicate;
};

// Removes the library's prefix "[json.exception.parse_error.101] ".
std::string withoutExceptionName(const std::string &text)
{
    const std::size_t end = text.find("] ");
    return end == std::string::npos ? text : text.substr(end + 2);
}

Result<std::string> readText(const std::filesystem::path &file)
{
    std::error_code failure;
    if (!std::filesystem::is_regular_file(file, failure)) {
        return makeError(ErrorKind::UnreadableFile, file.string() + ": is not a readable file");
    }
    const std::uintmax_t size = std::filesystem::file_size(file, failure);
    if (failure || size > maximumSettingsFileBytes) {
        return makeError(ErrorKind::UnreadableFile,
                         file.string() + ": must have at most " + std::to_string(maximumSettingsFileBytes) + " bytes");
    }
    std::ifstream stream(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream.good() && !stream.eof()) {
        return makeError(ErrorKind::UnreadableFile, file.string() + ": cannot be read");
    }
    return text;
}

Result<Json> parseText(const std::filesystem::path &file, const std::string &text)
{
    StructureValidator structure;
    const auto callback = [&structure](int, Json::parse_event_t event, Json &parsed) { return structure.handle(event, parsed); };
    Json document;
    try {
        document = Json::parse(text, callback, true, true);
    } catch (const Json::exception &exception) {
        return makeError(ErrorKind::MalformedJson, file.string() + ": " + withoutExceptionName(exception.what()));
    }
    if (structure.tooDeep()) {
        return makeError(ErrorKind::MalformedJson,
                         file.string() + ": must be nested at most " + std::to_string(maximumDepth) + " levels deep");
    }
    if (!structure.duplicate().empty()) {
        return makeError(ErrorKind::MalformedJson,
                         file.string() + ": " + structure.duplicate() + ": occurs twice; allowed is one occurrence");
    }
    if (!document.is_object()) {
        return makeError(ErrorKind::MalformedJson, file.string() + ": (top level): must be an object, is " + document.type_name());
    }
    return document;
}

// Applies one file as an RFC 7396 merge patch and records it as the origin of what it sets.
class OriginTrackingMerge
{
public:
    OriginTrackingMerge(MergedFolder &folder, std::string fileName)
        : merged(folder)
        , file(std::move(fileName))
    {
    }

    void apply(Json &target, const Json &patch, const std::string &pointer)
    {
        if (!patch.is_object()) {
            this->eraseOrigins(pointer);
            target = patch;
            this->merged.origins[pointer] = this->file;
            return;
        }
        if (!target.is_object()) {
            this->eraseOrigins(pointer);
            target = Json::object();
        }
        if (!pointer.empty()) {
            this->merged.origins[pointer] = this->file;
        }
        for (const auto &[key, value] : patch.items()) {
            this->applyMember(target, key, value, childPointer(pointer, key));
        }
    }

private:
    void applyMember(Json &target, const std::string &key, const Json &value, const std::string &pointer)
    {
        if (value.is_null()) {
            this->eraseOrigins(pointer);
            target.erase(key);
            return;
        }
        this->apply(target[key], value, pointer);
    }

    // Erases the origins of a pointer and of its descendants.
    void eraseOrigins(const std::string &pointer)
    {
        this->merged.origins.erase(pointer);
        const std::string prefix = pointer + "/";
        auto position = this->merged.origins.lower_bound(prefix);
        while (position != this->merged.origins.end() && position->first.starts_with(prefix)) {
            position = this->merged.origins.erase(position);
        }
    }

    MergedFolder &merged;
    std::string file;
};

bool isSettingsFile(const std::filesystem::path &file)
{
    return file.extension() == ".json" && !file.filename().string().starts_with(".");
}

Result<std::vector<std::filesystem::path>> listFiles(const std::filesystem::path &folder)
{
    std::error_code failure;
    std::vector<std::filesystem::path> files;
    std::filesystem::directory_iterator position(folder, failure);
    while (!failure && position != std::filesystem::directory_iterator()) {
        if (isSettingsFile(position->path())) {
            files.push_back(position->path());
        }
        position.increment(failure);
    }
    if (failure) {
        return makeError(ErrorKind::UnreadableFile, folder.string() + ": the folder cannot be read (" + failure.message() + ")");
    }
    if (files.empty()) {
        return makeError(ErrorKind::UnreadableFile, folder.string() + ": the folder has no *.json file; at least one is needed");
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

} // namespace Detail

std::string childPointer(const std::string &pointer, const std::string &key)
{
    std::string child = pointer + "/";
    for (const char character : key) {
        if (character == '~') {
            child += "~0";
        } else if (character == '/') {
            child += "~1";
        } else {
            child += character;
        }
    }
    return child;
}

std::string MergedFolder::originOf(std::string pointer) const
{
    while (!pointer.empty()) {
        const auto found = this->origins.find(pointer);
        if (found != this->origins.end()) {
            return found->second;
        }
        pointer.erase(pointer.rfind('/'));
    }
    return this->folder.string();
}

Result<MergedFolder> readSettingsFolder(const std::filesystem::path &folder)
{
    BOOST_OUTCOME_TRY(const auto files, Detail::listFiles(folder));
    MergedFolder merged{.folder = folder, .document = nlohmann::json::object(), .origins = {}};
    for (const std::filesystem::path &file : files) {
        BOOST_OUTCOME_TRY(const std::string text, Detail::readText(file));
        BOOST_OUTCOME_TRY(const nlohmann::json patch, Detail::parseText(file, text));
        Detail::OriginTrackingMerge(merged, file.string()).apply(merged.document, patch, "");
    }
    return merged;
}

} // namespace Galenawell
