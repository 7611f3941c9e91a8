// Implements toml_file.h with toml++. This is the only C++ file of the project.

#include <cstring>
#include <string>
#include <string_view>

#include <talloc.h>
#include <toml++/toml.h>

extern "C"
{
#include "kumquat/internal/toml_file.h"
}

namespace
{

char *
copy_string (const void *parent, const std::string &text)
{
  return talloc_strndup (parent, text.data (), text.size ());
}

void
read_list (KqTomlFile *file, KqTomlValue *value, const toml::array &list)
{
  value->texts = talloc_zero_array (file, char *, list.size () + 1);
  value->type = KQ_TOML_STRING_LIST;
  for (const toml::node &item : list)
    {
      auto text = item.value_exact<std::string> ();
      if (!text)
        {
          value->type = KQ_TOML_OTHER;
          return;
        }
      value->texts[value->text_count++] = copy_string (file, *text);
    }
}

void
add_value (KqTomlFile *file, const std::string &key, const toml::node &node)
{
  file->values = talloc_realloc (file, file->values, KqTomlValue, file->count + 1);
  KqTomlValue *value = &file->values[file->count++];
  std::memset (value, 0, sizeof *value);
  value->key = copy_string (file, key);
  value->line = node.source ().begin.line;
  value->type = KQ_TOML_OTHER;
  if (auto text = node.value_exact<std::string> ())
    {
      value->type = KQ_TOML_STRING;
      value->text = copy_string (file, *text);
    }
  else if (auto integer = node.value_exact<int64_t> ())
    {
      value->type = KQ_TOML_INTEGER;
      value->integer = *integer;
    }
  else if (auto boolean = node.value_exact<bool> ())
    {
      value->type = KQ_TOML_BOOLEAN;
      value->boolean = *boolean;
    }
  else if (auto list = node.as_array ())
    read_list (file, value, *list);
  else if (node.is_table ())
    value->type = KQ_TOML_TABLE;
}

void
add_table (KqTomlFile *file, const std::string &prefix, const toml::table &table)
{
  for (auto &&[name, node] : table)
    {
      std::string key = prefix + std::string (std::string_view (name));
      const toml::table *inner = node.as_table ();
      if (inner != nullptr && !inner->empty ())
        add_table (file, key + ".", *inner);
      else
        add_value (file, key, node);
    }
}

} // namespace

extern "C" KqTomlFile *
kq_toml_read (const void *parent, const char *path, KqError *error)
{
  KqTomlFile *file = talloc_zero (parent, KqTomlFile);
  try
    {
      add_table (file, "", toml::parse_file (std::string_view (path)));
      return file;
    }
  catch (const toml::parse_error &failure)
    {
      std::string what (failure.description ());
      unsigned line = failure.source ().begin.line;
      kq_error_set (error, KQ_ERROR_INVALID, "%s:%u: -: %.120s; %s", path,
                    line == 0 ? 1 : line, what.c_str (),
                    line == 0 ? "check the path" : "correct the file");
    }
  talloc_free (file);
  return nullptr;
}

extern "C" const KqTomlValue *
kq_toml_find (const KqTomlFile *file, const char *key)
{
  for (unsigned i = 0; i < file->count; i++)
    if (std::strcmp (file->values[i].key, key) == 0)
      return &file->values[i];
  return nullptr;
}
