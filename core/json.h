// JSON through JSON-GLib. Parsing is strict because the input comes from outside.

#pragma once

#include "core/verdict.h"

#include <json-glib/json-glib.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornpin {

// Deepest nesting accepted; checked before the text is parsed.
inline constexpr int max_json_depth = 8;

// A view of an array inside an array; valid while its document lives. Getters are empty for a missing or
// wrong-typed element.
class json_row {
public:
    explicit json_row(JsonArray* array) : m_array(array) {}

    std::optional<std::string> text(unsigned index) const;
    std::optional<std::int64_t> integer(unsigned index) const;

private:
    JsonNode* element(unsigned index) const;

    JsonArray* m_array;
};

// A view of an object; valid while its document lives. Getters are empty for a missing or wrong-typed member.
class json_object {
public:
    explicit json_object(JsonObject* object) : m_object(object) {}

    bool has(const char* name) const;
    std::optional<std::string> text(const char* name) const;
    std::optional<std::int64_t> integer(const char* name) const;
    // Also accepts whole numbers.
    std::optional<double> decimal(const char* name) const;
    std::optional<bool> flag(const char* name) const;
    std::optional<json_object> object(const char* name) const;
    // Elements of other types are skipped; compare the size with count() to detect them.
    std::vector<json_object> objects(const char* name) const;
    std::vector<std::string> texts(const char* name) const;
    std::vector<std::int64_t> integers(const char* name) const;
    std::vector<json_row> rows(const char* name) const;
    // The number of elements of an array member; empty if it is not an array.
    std::optional<std::size_t> count(const char* name) const;
    std::vector<std::string> names() const;

private:
    JsonNode* member(const char* name) const;

    JsonObject* m_object;
};

// A parsed document whose root is an object.
class json_document {
public:
    // `why` is bad_json for malformed, too deep or non-object text or a number beyond 64 bits, duplicate_key
    // for repeated members.
    static std::optional<json_document> parse(std::string_view text, reason& why);

    // For a document that collects what several writers wrote: a value that is too deep or a number beyond 64
    // bits is read as null, an object with repeated members as empty, and a zero byte or invalid UTF-8 as
    // U+FFFD, so that one writer's entry does not hide those of others. Empty for malformed or non-object
    // text.
    static std::optional<json_document> parse_collected(std::string_view text);

    json_object root() const;

private:
    struct unref {
        void operator()(JsonParser* parser) const { g_object_unref(parser); }
    };

    static std::optional<json_document> load(JsonParser* parser, std::string_view text);

    std::unique_ptr<JsonParser, unref> m_parser;
};

// Builds a JSON text; calls must nest correctly.
class json_writer {
public:
    json_writer();

    json_writer& begin_object();
    json_writer& end_object();
    json_writer& begin_array();
    json_writer& end_array();
    json_writer& key(const char* name);
    json_writer& text(std::string_view value);
    json_writer& integer(std::int64_t value);
    json_writer& decimal(double value);
    json_writer& flag(bool value);
    json_writer& null();

    std::string to_string() const;

private:
    struct unref {
        void operator()(JsonBuilder* builder) const { g_object_unref(builder); }
    };
    std::unique_ptr<JsonBuilder, unref> m_builder;
};

} // namespace hawthornpin
