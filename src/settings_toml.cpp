// Reads a TOML file with toml11 and converts it to a JSON tree. This is the only C++ file of the
// project: Debian has no TOML library for C.
#include <fstream>
#include <glib.h>
#include <jansson.h>
#include <toml.hpp>

static json_t *
convert (const toml::value &v)
{
  if (v.is_boolean ())
    return json_boolean (v.as_boolean ());
  if (v.is_integer ())
    return json_integer (v.as_integer ());
  if (v.is_floating ())
    return json_real (v.as_floating ());
  if (v.is_string ())
    return json_string (v.as_string ().str.c_str ());
  if (v.is_array ()) {
    json_t *a = json_array ();
    for (const auto &x : v.as_array ())
      json_array_append_new (a, convert (x));
    return a;
  }
  if (v.is_table ()) {
    json_t *o = json_object ();
    for (const auto &kv : v.as_table ())
      json_object_set_new (o, kv.first.c_str (), convert (kv.second));
    return o;
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
