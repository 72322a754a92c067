/* The JSON codec: what RFC 8259 allows is accepted, numbers are exact, and a random document has
 * the same value in every spelling. */
#include "constants.h"
#include "json-codec.h"
#include <string.h>

#define RANDOM_DOCUMENTS 3000
/* Also a bound on the depth, which is below KR_JSON_DEPTH_MAX. */
#define RANDOM_VALUES_MAX 30

static json_t *
decode (const char *text)
{
  g_autofree char *error = NULL;
  json_t *value = kr_json_decode (text, strlen (text), &error);
  if (!value)
    g_test_message ("%s: %s", error, text);
  g_assert_true (!value == !!error);
  return value;
}

static void
assert_refused (const char *text, gsize length)
{
  g_autofree char *error = NULL;
  json_t *value = kr_json_decode (text, length, &error);
  g_assert_null (value);
  g_assert_true (g_str_has_prefix (error, "byte "));
}

static void
test_whole_numbers_are_exact (void)
{
  static const struct {
    const char *text;
    guint64 value;
  } cases[] = {
    { "0", 0 },
    { "-0", 0 },
    { "-0.0", 0 },
    { "4", 4 },
    { "4.0", 4 },
    { "4E+0", 4 },
    { "0.4e1", 4 },
    { "400e-2", 4 },
    { "9007199254740993", G_GUINT64_CONSTANT (9007199254740993) },
    { "9007199254740993.0", G_GUINT64_CONSTANT (9007199254740993) },
    { "9223372036854775807", G_MAXINT64 },
    { "9223372036854775808", G_GUINT64_CONSTANT (9223372036854775808) },
    { "9223372036854775809.0", G_GUINT64_CONSTANT (9223372036854775809) },
    { "18446744073709551615", G_MAXUINT64 },
    { "18446744073709551615.000", G_MAXUINT64 },
    { "1844674407370955161.5e1", G_MAXUINT64 },
    { "9007199254740993.5", G_GUINT64_CONSTANT (9007199254740994) },
    { "91.00000000000000000000000000000000000000001", 91 },
    { "1e-400", 0 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    json_t *value = decode (cases[i].text);
    g_assert_true (kr_json_is_uint (value));
    g_assert_cmpuint (kr_json_uint (value), ==, cases[i].value);
    g_assert_cmpfloat (kr_json_number (value), ==, (double) cases[i].value);
    g_autofree char *text = kr_json_encode (value);
    g_autofree char *expected = g_strdup_printf ("%" G_GUINT64_FORMAT, cases[i].value);
    g_assert_cmpstr (text, ==, expected);
    json_decref (value);
  }
}

static void
test_other_numbers_are_reals (void)
{
  static const struct {
    const char *text;
    double value;
  } cases[] = { { "-1", -1 },
                { "-9223372036854775809", -9223372036854775809.0 },
                { "3.7", 3.7 },
                { "0.1", 0.1 },
                { "18446744073709551616", 18446744073709551616.0 },
                { "1e300", 1e300 },
                { "1e999999", G_MAXDOUBLE },
                { "-1e999999", -G_MAXDOUBLE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    json_t *value = decode (cases[i].text);
    g_assert_true (json_is_real (value));
    g_assert_cmpfloat (kr_json_number (value), ==, cases[i].value);
    g_assert_cmpuint (kr_json_uint (value), ==, 0);
    json_decref (value);
  }
}

/* Each is accepted as the value of a field, and the field after it is read. */
static void
test_all_that_the_rfc_allows_is_accepted (void)
{
  static const char *const values[] = {
    "18446744073709551616",
    "-170141183460469231731687303715884105728",
    "1e-400",
    "123456789.0123456789012345678901234567890123456789E-0000000001",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\"\\ud800x\"",
    "\"\\ud800\\\\\"",
    "\"\\ud800\\\\u12\"",
    "\"\\ud800\\n\"",
    "\"\\ud800\\ud800\"",
    "\"\\ud800\\u0041\"",
    "\"\\udc00\\ud800\"",
    "\"\\ud83d\\ude00\"",
    "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"",
    "{\"\\u0000\":1,\"\\ud800\":2,\"\":3}",
    "{\"a\":1,\"a\":2}",
    " [ ] ",
    "\t{\r\n}\n",
    "[[],{},true,false,null]",
  };
  for (guint i = 0; i < G_N_ELEMENTS (values); i++) {
    g_autofree char *text = g_strdup_printf ("{\"x\":%s,\"Id\":\"wk-1\"}", values[i]);
    json_t *value = decode (text);
    g_assert_cmpstr (json_string_value (json_object_get (value, "Id")), ==, "wk-1");
    json_decref (value);
  }
}

static void
test_last_of_equal_names_counts (void)
{
  json_t *value = decode ("{\"a\":1,\"\\u0061\":2}");
  g_assert_cmpuint (kr_json_uint (json_object_get (value, "a")), ==, 2);
  json_decref (value);
}

/* A name or text with U+0000 must not pass for the part before it. */
static void
test_zero_character_ends_no_string (void)
{
  json_t *value = decode ("{\"a\\u0000b\":1,\"c\":\"d\\u0000e\"}");
  g_assert_null (json_object_get (value, "a"));
  g_assert_cmpstr (json_string_value (json_object_get (value, "c")), ==,
                   "d\xef\xbf\xbd"
                   "e");
  json_decref (value);
}

static void
test_what_is_no_json_is_refused (void)
{
  static const char *const texts[] = {
    "",           " ",
    "{",          "}",
    "{\"a\":}",   "{\"a\" 1}",
    "[1,]",       "[1",
    "01",         "+1",
    ".5",         "1.",
    "1e",         "-",
    "0x10",       "NaN",
    "Infinity",   "tru",
    "'a'",        "\"\\x\"",
    "\"\\u12\"",  "\"\n\"",
    "1 2",        "{} {}",
    "// a\n1",    "/* a */1",
    "{a:1}",      "\"",
    "[1 2]",      "{\"a\"",
    "{\"a\":1,}", "\"\xc0\x80\"",
    "\"\xff\"",   "\"\xed\xa0\x80\"",
  };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    assert_refused (texts[i], strlen (texts[i]));
  assert_refused ("1\0", 2);
  assert_refused ("\"\0\"", 3);
}

static char *
nested (const char *open, const char *close, guint depth)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < depth; i++)
    g_string_append (text, open);
  g_string_append (text, "1");
  for (guint i = 0; i < depth; i++)
    g_string_append (text, close);
  return g_string_free (text, FALSE);
}

static guint
depth_of (json_t *value)
{
  guint depth = 0;
  for (; json_is_array (value); value = json_array_get (value, 0))
    depth++;
  return depth;
}

static void
test_deep_nesting_takes_no_stack (void)
{
  g_autofree char *arrays = nested ("[", "]", KR_BODY_MAX_BYTES / 2 - 1);
  g_autofree char *objects = nested ("{\"\":", "}", KR_BODY_MAX_BYTES / 5 - 1);
  g_autofree char *unclosed = g_strnfill (KR_BODY_MAX_BYTES, '[');
  json_t *value = decode (arrays);
  g_assert_cmpuint (depth_of (value), ==, KR_JSON_DEPTH_MAX);
  json_decref (value);
  value = decode (objects);
  g_assert_nonnull (value);
  json_decref (value);
  assert_refused (unclosed, strlen (unclosed));
}

/* --- random documents ------------------------------------------------------------------ */
static char *
random_text (void)
{
  GString *text = g_string_new (NULL);
  for (gint i = g_test_rand_int_range (0, 6); i > 0; i--) {
    gunichar c;
    do
      c = (gunichar) g_test_rand_int_range (1, g_test_rand_bit ()   ? 0x80
                                               : g_test_rand_bit () ? 0x3000
                                                                    : 0x110000);
    while (c >= 0xd800 && c < 0xe000);
    g_string_append_unichar (text, c);
  }
  return g_string_free (text, FALSE);
}

static json_t *
random_scalar (void)
{
  g_autofree char *text = NULL;
  switch (g_test_rand_int_range (0, 6)) {
  case 0:
    return kr_json_uint_new ((guint64) g_test_rand_int_range (0, 10));
  case 1:
    return kr_json_uint_new (G_MAXUINT64 - (guint64) g_test_rand_int_range (0, 1000));
  case 2:
    return json_real (g_test_rand_double_range (-1e6, 1e6) + 1e-9);
  case 3:
    return json_boolean (g_test_rand_bit ());
  case 4:
    return json_null ();
  default:
    text = random_text ();
    return json_string (text);
  }
}

static void
add_member (json_t *container, json_t *value)
{
  g_autofree char *name = random_text ();
  if (json_is_array (container))
    json_array_append_new (container, value);
  else
    json_object_set_new (container, name, value);
}

static json_t *
random_container (void)
{
  return g_test_rand_bit () ? json_array () : json_object ();
}

/* Adds scalars and containers to containers drawn from those there are. */
static json_t *
random_document (void)
{
  json_t *root = random_container ();
  g_autoptr (GPtrArray) containers = g_ptr_array_new_with_free_func ((GDestroyNotify) json_decref);
  g_ptr_array_add (containers, json_incref (root));
  for (gint i = g_test_rand_int_range (0, RANDOM_VALUES_MAX); i > 0; i--) {
    json_t *container = containers->pdata[g_test_rand_int_range (0, (gint32) containers->len)];
    json_t *value = g_test_rand_bit () ? random_scalar () : random_container ();
    if (json_is_array (value) || json_is_object (value))
      g_ptr_array_add (containers, json_incref (value));
    add_member (container, value);
  }
  return root;
}

static void
spell_space (GString *out)
{
  static const char *const spaces[] = { "", "", "", " ", "\t", "\r\n", "  " };
  g_string_append (out, spaces[g_test_rand_int_range (0, G_N_ELEMENTS (spaces))]);
}

static void
spell_escape (GString *out, gunichar c)
{
  if (c < 0x10000)
    g_string_append_printf (out, g_test_rand_bit () ? "\\u%04x" : "\\u%04X", c);
  else
    g_string_append_printf (out, "\\u%04x\\u%04X", 0xd800 + ((c - 0x10000) >> 10),
                            0xdc00 + ((c - 0x10000) & 0x3ff));
}

static void
spell_string (GString *out, const char *text)
{
  g_string_append_c (out, '"');
  for (const char *p = text; *p; p = g_utf8_next_char (p)) {
    gunichar c = g_utf8_get_char (p);
    if (c < 0x20 || c == '"' || c == '\\' || g_test_rand_int_range (0, 4) == 0)
      spell_escape (out, c);
    else
      g_string_append_unichar (out, c);
  }
  g_string_append_c (out, '"');
}

static void
spell_uint (GString *out, guint64 number)
{
  /* The last two are no numbers after a zero. */
  static const char *const endings[] = { "", ".0", "e0", "E+0", ".000E-0", "0e-1", "00.0E-2" };
  const gint count = G_N_ELEMENTS (endings) - (number ? 0 : 2);
  g_string_append_printf (out, "%" G_GUINT64_FORMAT "%s", number,
                          endings[g_test_rand_int_range (0, count)]);
}

static void
spell_scalar (GString *out, json_t *value)
{
  char number[G_ASCII_DTOSTR_BUF_SIZE];
  if (json_is_string (value))
    spell_string (out, json_string_value (value));
  else if (json_is_integer (value))
    spell_uint (out, kr_json_uint (value));
  else if (json_is_real (value))
    g_string_append (out, g_ascii_dtostr (number, sizeof number, json_real_value (value)));
  else
    g_string_append (out, json_is_null (value) ? "null" : json_is_true (value) ? "true" : "false");
}

/* An array or object that is being written. */
typedef struct {
  json_t *container;
  size_t next; /* index of the next member */
} Position;

/* Writes the name if it is an object. Returns the next member, NULL at the end. */
static json_t *
spell_next (GString *out, Position *position)
{
  size_t index = position->next++;
  if (json_is_array (position->container)) {
    if (index && index < json_array_size (position->container))
      g_string_append_c (out, ',');
    return json_array_get (position->container, index);
  }
  void *member = json_object_iter (position->container);
  for (size_t i = 0; member && i < index; i++)
    member = json_object_iter_next (position->container, member);
  if (!member)
    return NULL;
  if (index)
    g_string_append_c (out, ',');
  spell_space (out);
  spell_string (out, json_object_iter_key (member));
  spell_space (out);
  g_string_append_c (out, ':');
  return json_object_iter_value (member);
}

/* Writes the value in one of its spellings. */
static void
spell_value (GString *out, json_t *root)
{
  g_autoptr (GArray) stack = g_array_new (FALSE, FALSE, sizeof (Position));
  json_t *value = root;
  do {
    spell_space (out);
    if (json_is_array (value) || json_is_object (value)) {
      g_string_append_c (out, json_is_array (value) ? '[' : '{');
      g_array_append_val (stack, ((Position){ value, 0 }));
    } else
      spell_scalar (out, value);
    spell_space (out);
    while (stack->len &&
           !(value = spell_next (out, &g_array_index (stack, Position, stack->len - 1)))) {
      json_t *ended = g_array_index (stack, Position, stack->len - 1).container;
      g_string_append_c (out, json_is_array (ended) ? ']' : '}');
      spell_space (out);
      g_array_set_size (stack, stack->len - 1);
    }
  } while (stack->len);
}

static void
assert_survives_encoding (json_t *value)
{
  g_autofree char *text = kr_json_encode (value);
  json_t *again = decode (text);
  g_assert_true (json_equal (value, again));
  json_decref (again);
}

static void
test_spellings_have_the_same_value (void)
{
  for (guint i = 0; i < RANDOM_DOCUMENTS; i++) {
    json_t *value = random_document ();
    g_autoptr (GString) text = g_string_new (NULL);
    spell_value (text, value);
    json_t *decoded = decode (text->str);
    g_autofree char *expected = kr_json_encode (value), *got = kr_json_encode (decoded);
    g_assert_cmpstr (got, ==, expected);
    assert_survives_encoding (decoded);
    json_decref (decoded);
    json_decref (value);
  }
}

/* A document with a few wrong bytes is refused, or is another valid document. */
static void
test_broken_documents_do_no_harm (void)
{
  for (guint i = 0; i < RANDOM_DOCUMENTS; i++) {
    json_t *value = random_document ();
    g_autoptr (GString) text = g_string_new (NULL);
    g_autofree char *error = NULL;
    spell_value (text, value);
    for (gint k = g_test_rand_int_range (1, 4); k > 0 && text->len; k--)
      text->str[g_test_rand_int_range (0, (gint32) text->len)] =
          "\"\\{}[]:,u0dD8e-.x\xc3"[g_test_rand_int_range (0, 18)];
    json_t *decoded = kr_json_decode (text->str, text->len, &error);
    g_assert_true (!decoded == !!error);
    if (decoded)
      assert_survives_encoding (decoded);
    json_decref (decoded);
    json_decref (value);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/json-codec/whole-numbers-are-exact", test_whole_numbers_are_exact);
  g_test_add_func ("/json-codec/other-numbers-are-reals", test_other_numbers_are_reals);
  g_test_add_func ("/json-codec/all-that-the-rfc-allows-is-accepted",
                   test_all_that_the_rfc_allows_is_accepted);
  g_test_add_func ("/json-codec/last-of-equal-names-counts", test_last_of_equal_names_counts);
  g_test_add_func ("/json-codec/zero-character-ends-no-string", test_zero_character_ends_no_string);
  g_test_add_func ("/json-codec/what-is-no-json-is-refused", test_what_is_no_json_is_refused);
  g_test_add_func ("/json-codec/deep-nesting-takes-no-stack", test_deep_nesting_takes_no_stack);
  g_test_add_func ("/json-codec/spellings-have-the-same-value", test_spellings_have_the_same_value);
  g_test_add_func ("/json-codec/broken-documents-do-no-harm", test_broken_documents_do_no_harm);
  return g_test_run ();
}
