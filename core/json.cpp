// Strict parsing and writing of JSON.

#include "core/json.h"

#include <algorithm>
#include <map>
#include <set>

namespace hawthornpin {

namespace {

// Records the members of each object during parsing; a repeated member makes the document ambiguous. Keeps
// the objects alive, because the parser frees one that a repeated member replaces, and may reuse its address.
class duplicate_key_detector {
public:
    duplicate_key_detector() = default;
    ~duplicate_key_detector()
    {
        for (const auto& [object, members] : m_members)
            json_object_unref(object);
    }
    duplicate_key_detector(const duplicate_key_detector&) = delete;
    duplicate_key_detector& operator=(const duplicate_key_detector&) = delete;

    void record_member(JsonObject* object, const char* name)
    {
        const auto [position, is_new] = m_members.try_emplace(object);
        if (is_new)
            json_object_ref(object);
        if (!position->second.emplace(name).second)
            m_ambiguous.insert(object);
    }

    const std::set<JsonObject*>& ambiguous() const { return m_ambiguous; }

private:
    std::map<JsonObject*, std::set<std::string>> m_members;
    std::set<JsonObject*> m_ambiguous;
};

void on_object_member(JsonParser* /*parser*/, JsonObject* object, const char* name, gpointer data)
{
    static_cast<duplicate_key_detector*>(data)->record_member(object, name);
}

void remove_members(JsonObject* object)
{
    std::vector<std::string> names = json_object(object).names();
    for (const std::string& name : names)
        json_object_remove_member(object, name.c_str());
}

bool is_digit(char character)
{
    return character >= '0' && character <= '9';
}

// Length of the number that begins here outside of a string; zero if none does.
std::size_t number_length(std::string_view text)
{
    constexpr std::string_view number_characters = "0123456789+-.eE";
    if (text.empty() || (!is_digit(text.front()) && text.front() != '-'))
        return 0;
    return std::min(text.find_first_not_of(number_characters), text.size());
}

// Whether the number may exceed 64 bits, which the parser does not report.
bool is_too_large(std::string_view number)
{
    constexpr std::ptrdiff_t max_digits = 18;
    if (number.find_first_of(".eE") != std::string_view::npos)
        return false;
    return std::count_if(number.begin(), number.end(), is_digit) > max_digits;
}

constexpr std::string_view escaped_zero = "\\u0000";

// Scans the raw text for input that the parser accepts but this code can't handle: nesting beyond the limit,
// numbers beyond 64 bits, and zero bytes in strings, which would truncate them.
bool has_unsupported_content(std::string_view text)
{
    int depth = 0;
    bool is_in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (is_in_string && text.substr(index, escaped_zero.size()) == escaped_zero)
            return true;
        const std::size_t length = is_in_string ? 0 : number_length(text.substr(index));
        if (length > 0) {
            if (is_too_large(text.substr(index, length)))
                return true;
            index += length - 1;
            continue;
        }
        if (is_in_string && character == '\\')
            ++index;
        else if (character == '"')
            is_in_string = !is_in_string;
        else if (!is_in_string && (character == '{' || character == '['))
            ++depth;
        else if (!is_in_string && (character == '}' || character == ']'))
            --depth;
        if (depth > max_json_depth)
            return true;
    }
    return false;
}

// Replaces what has_unsupported_content() rejects: values by null, zero bytes by U+FFFD.
std::string replace_unsupported_content(std::string_view text)
{
    std::string result;
    int depth = 0;
    bool is_in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        const bool is_kept = depth <= max_json_depth;
        if (is_in_string && text.substr(index, escaped_zero.size()) == escaped_zero) {
            result += is_kept ? "\\ufffd" : "";
            index += escaped_zero.size() - 1;
            continue;
        }
        const std::size_t length = is_in_string ? 0 : number_length(text.substr(index));
        if (length > 0) {
            const std::string_view number = text.substr(index, length);
            if (is_kept)
                result += is_too_large(number) ? "null" : number;
            index += length - 1;
            continue;
        }
        const bool is_opening = !is_in_string && (character == '{' || character == '[');
        const bool is_closing = !is_in_string && (character == '}' || character == ']');
        if (is_opening && ++depth == max_json_depth + 1)
            result += "null";
        if (depth <= max_json_depth)
            result.push_back(character);
        if (is_closing)
            --depth;
        if (is_in_string && character == '\\' && index + 1 < text.size()) {
            ++index;
            if (depth <= max_json_depth)
                result.push_back(text[index]);
        }
        else if (character == '"')
            is_in_string = !is_in_string;
    }
    return result;
}

// Calls `visit` with each element; does nothing if the node is missing or not an array.
template <typename Visit>
void for_each_element(JsonNode* node, Visit visit)
{
    if (node == nullptr || !JSON_NODE_HOLDS_ARRAY(node))
        return;
    JsonArray* array = json_node_get_array(node);
    for (guint index = 0; index < json_array_get_length(array); ++index)
        visit(json_array_get_element(array, index));
}

} // namespace

JsonNode* json_object::member(const char* name) const
{
    return json_object_get_member(m_object, name);
}

bool json_object::has(const char* name) const
{
    return json_object_has_member(m_object, name) != FALSE;
}

std::optional<std::string> json_object::text(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_STRING)
        return std::nullopt;
    return std::string(json_node_get_string(node));
}

std::optional<std::int64_t> json_object::integer(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_int(node);
}

std::optional<double> json_object::decimal(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || !JSON_NODE_HOLDS_VALUE(node))
        return std::nullopt;
    const GType type = json_node_get_value_type(node);
    if (type != G_TYPE_DOUBLE && type != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_double(node);
}

std::optional<bool> json_object::flag(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_BOOLEAN)
        return std::nullopt;
    return json_node_get_boolean(node) != FALSE;
}

std::optional<json_object> json_object::object(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || !JSON_NODE_HOLDS_OBJECT(node))
        return std::nullopt;
    return json_object(json_node_get_object(node));
}

std::vector<json_object> json_object::objects(const char* name) const
{
    std::vector<json_object> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (JSON_NODE_HOLDS_OBJECT(element))
            result.push_back(json_object(json_node_get_object(element)));
    });
    return result;
}

std::vector<std::string> json_object::texts(const char* name) const
{
    std::vector<std::string> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (json_node_get_value_type(element) == G_TYPE_STRING)
            result.push_back(std::string(json_node_get_string(element)));
    });
    return result;
}

std::vector<std::int64_t> json_object::integers(const char* name) const
{
    std::vector<std::int64_t> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (json_node_get_value_type(element) == G_TYPE_INT64)
            result.push_back(json_node_get_int(element));
    });
    return result;
}

std::vector<json_row> json_object::rows(const char* name) const
{
    std::vector<json_row> result;
    for_each_element(member(name), [&result](JsonNode* element) {
        if (JSON_NODE_HOLDS_ARRAY(element))
            result.push_back(json_row(json_node_get_array(element)));
    });
    return result;
}

JsonNode* json_row::element(unsigned index) const
{
    return index < json_array_get_length(m_array) ? json_array_get_element(m_array, index) : nullptr;
}

std::optional<std::string> json_row::text(unsigned index) const
{
    JsonNode* node = element(index);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_STRING)
        return std::nullopt;
    return std::string(json_node_get_string(node));
}

std::optional<std::int64_t> json_row::integer(unsigned index) const
{
    JsonNode* node = element(index);
    if (node == nullptr || json_node_get_value_type(node) != G_TYPE_INT64)
        return std::nullopt;
    return json_node_get_int(node);
}

std::optional<std::size_t> json_object::count(const char* name) const
{
    JsonNode* node = member(name);
    if (node == nullptr || !JSON_NODE_HOLDS_ARRAY(node))
        return std::nullopt;
    return json_array_get_length(json_node_get_array(node));
}

std::vector<std::string> json_object::names() const
{
    std::vector<std::string> result;
    std::unique_ptr<GList, decltype(&g_list_free)> members(json_object_get_members(m_object), g_list_free);
    for (GList* item = members.get(); item != nullptr; item = item->next)
        result.emplace_back(static_cast<const char*>(item->data));
    return result;
}

std::optional<json_document> json_document::parse(std::string_view text, reason& why)
{
    why = reason::bad_json;
    if (has_unsupported_content(text) || g_utf8_validate_len(text.data(), text.size(), nullptr) == FALSE)
        return std::nullopt;
    duplicate_key_detector detector;
    JsonParser* parser = json_parser_new_immutable();
    g_signal_connect(parser, "object-member", G_CALLBACK(on_object_member), &detector);
    auto document = load(parser, text);
    if (!document)
        return std::nullopt;
    g_signal_handlers_disconnect_by_data(parser, &detector);
    if (!detector.ambiguous().empty()) {
        why = reason::duplicate_key;
        return std::nullopt;
    }
    why = reason::none;
    return document;
}

std::optional<json_document> json_document::parse_collected(std::string_view text)
{
    const std::unique_ptr<char, decltype(&g_free)> valid(
        g_utf8_make_valid(text.data(), static_cast<gssize>(text.size())), g_free);
    duplicate_key_detector detector;
    JsonParser* parser = json_parser_new();
    g_signal_connect(parser, "object-member", G_CALLBACK(on_object_member), &detector);
    auto document = load(parser, replace_unsupported_content(valid.get()));
    if (!document)
        return std::nullopt;
    g_signal_handlers_disconnect_by_data(parser, &detector);
    for (JsonObject* ambiguous : detector.ambiguous())
        remove_members(ambiguous);
    return document;
}

std::optional<json_document> json_document::load(JsonParser* parser, std::string_view text)
{
    json_document document;
    document.m_parser.reset(parser);
    if (json_parser_load_from_data(parser, text.data(), static_cast<gssize>(text.size()), nullptr) == FALSE)
        return std::nullopt;
    JsonNode* root = json_parser_get_root(parser);
    if (root == nullptr || !JSON_NODE_HOLDS_OBJECT(root))
        return std::nullopt;
    return document;
}

json_object json_document::root() const
{
    return json_object(json_node_get_object(json_parser_get_root(m_parser.get())));
}

json_writer::json_writer() : m_builder(json_builder_new()) {}

json_writer& json_writer::begin_object()
{
    json_builder_begin_object(m_builder.get());
    return *this;
}

json_writer& json_writer::end_object()
{
    json_builder_end_object(m_builder.get());
    return *this;
}

json_writer& json_writer::begin_array()
{
    json_builder_begin_array(m_builder.get());
    return *this;
}

json_writer& json_writer::end_array()
{
    json_builder_end_array(m_builder.get());
    return *this;
}

json_writer& json_writer::key(const char* name)
{
    json_builder_set_member_name(m_builder.get(), name);
    return *this;
}

json_writer& json_writer::text(std::string_view value)
{
    json_builder_add_string_value(m_builder.get(), std::string(value).c_str());
    return *this;
}

json_writer& json_writer::integer(std::int64_t value)
{
    json_builder_add_int_value(m_builder.get(), value);
    return *this;
}

json_writer& json_writer::decimal(double value)
{
    json_builder_add_double_value(m_builder.get(), value);
    return *this;
}

json_writer& json_writer::flag(bool value)
{
    json_builder_add_boolean_value(m_builder.get(), value ? TRUE : FALSE);
    return *this;
}

json_writer& json_writer::null()
{
    json_builder_add_null_value(m_builder.get());
    return *this;
}

std::string json_writer::to_string() const
{
    std::unique_ptr<JsonNode, decltype(&json_node_unref)> root(json_builder_get_root(m_builder.get()),
                                                               json_node_unref);
    std::unique_ptr<char, decltype(&g_free)> text(json_to_string(root.get(), FALSE), g_free);
    return text.get();
}

} // namespace hawthornpin
