// Reads a TOML file with toml11 and converts it to a JSON tree. This is the only C++ file of the
// project: Debian has no TOML library for C.
#include <fstream>
#include <glib.h>
#include <jansson.h>
#include <toml.hpp>

static json_t *
convert (const toml::value &value)
{
  if (value.is_boolean ())
    return json_boolean (value.as_boolean ());
  if (value.is_integer ())
    return json_integer (value.as_integer ());
  if (value.is_floating ())
    return json_real (value.as_floating ());
  if (value.is_string ())
    return json_string (value.as_string ().str.c_str ());
  if (value.is_array ()) {
    json_t *array = json_array ();
    for (const auto &element : value.as_array ())
      json_array_append_new (array, convert (element));
    return array;
  }
  if (value.is_table ()) {
    json_t *object = json_object ();
    for (const auto &entry : value.as_table ())
      json_object_set_new (object, entry.first.c_str (), convert (entry.second));
    return object;
  }
  return json_null ();
}

extern "C" json_t *
kr_toml_load (const char *path, char **message)
{
  try {
    std::ifstream in (path, std::ios::binary);
    if (!in) {
      *message = g_strdup_printf ("%s: cannot be read", path);
      return nullptr;
    }
    return convert (toml::parse (in, path));
  } catch (const toml::exception &e) {
    *message = g_strdup_printf ("%s:%u: not valid TOML", path, (unsigned) e.location ().line ());
  } catch (const std::exception &e) {
    *message = g_strdup_printf ("%s: %s", path, e.what ());
  }
  return nullptr;
}
