// JSON-GLib reading and writing of configuration records.

#include "config/record_json.h"

#include "core/json.h"

namespace hawthornpin {

namespace {

void write_content(json_writer& writer, const std::optional<std::string>& content)
{
    writer.key("content");
    if (content)
        writer.text(*content);
    else
        writer.null();
}

std::optional<std::string> read_content(const json_object& object)
{
    return object.text("content");
}

config_change read_change(const json_object& object)
{
    config_change change;
    change.m_id = object.text("id").value_or("");
    for (const json_object& file : object.objects("files")) {
        change.m_files.push_back({file.text("path").value_or(""),
                                  static_cast<log_offset>(file.integer("base").value_or(0)),
                                  read_content(file)});
    }
    return change;
}

config_checkpoint read_checkpoint(const json_object& object)
{
    config_checkpoint checkpoint;
    checkpoint.m_as_of = static_cast<log_offset>(object.integer("as_of").value_or(0));
    for (const json_object& file : object.objects("files")) {
        checkpoint.m_files[file.text("path").value_or("")] = {
            static_cast<log_offset>(file.integer("version").value_or(0)), read_content(file)};
    }
    for (const std::string& id : object.texts("recent_ids"))
        checkpoint.m_recent_ids.push_back(id);
    return checkpoint;
}

} // namespace

std::string to_json(const config_change& change)
{
    json_writer writer;
    writer.begin_object().key("kind").text("change").key("id").text(change.m_id).key("files").begin_array();
    for (const file_change& file : change.m_files) {
        writer.begin_object()
            .key("path")
            .text(file.m_path)
            .key("base")
            .integer(static_cast<std::int64_t>(file.m_base));
        write_content(writer, file.m_content);
        writer.end_object();
    }
    writer.end_array().end_object();
    return writer.to_string();
}

std::string to_json(const config_checkpoint& checkpoint)
{
    json_writer writer;
    writer.begin_object().key("kind").text("checkpoint");
    writer.key("as_of").integer(static_cast<std::int64_t>(checkpoint.m_as_of)).key("files").begin_array();
    for (const auto& [path, file] : checkpoint.m_files) {
        writer.begin_object().key("path").text(path);
        writer.key("version").integer(static_cast<std::int64_t>(file.m_version));
        write_content(writer, file.m_content);
        writer.end_object();
    }
    writer.end_array().key("recent_ids").begin_array();
    for (const std::string& id : checkpoint.m_recent_ids)
        writer.text(id);
    writer.end_array().end_object();
    return writer.to_string();
}

config_record record_from_json(log_offset offset, const std::string& text)
{
    config_record record;
    record.m_offset = offset;
    reason why = reason::none;
    const auto document = json_document::parse(text, why);
    if (!document)
        return record;
    const json_object root = document->root();
    const auto kind = root.text("kind");
    if (kind == "change")
        record.m_change = read_change(root);
    if (kind == "checkpoint")
        record.m_checkpoint = read_checkpoint(root);
    return record;
}

} // namespace hawthornpin
