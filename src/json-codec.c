#include "json-codec.h"
#include "constants.h"
#include <float.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_gen.h>
#include <yajl/yajl_parse.h>

#define CALLBACK_CONTINUE 1
/* 2^64 */
#define UINT_END 18446744073709551616.0L
G_STATIC_ASSERT (LDBL_MANT_DIG >= 64);

/* --- values -------------------------------------------------------------------------- */
gboolean
kr_json_is_uint (const json_t *value)
{
  return json_is_integer (value);
}

guint64
kr_json_uint (const json_t *value)
{
  return (guint64) json_integer_value (value);
}

guint64
kr_json_uint_below (const json_t *value, guint64 limit)
{
  return json_is_integer (value) ? MIN (kr_json_uint (value), limit) : limit;
}

json_t *
kr_json_uint_new (guint64 value)
{
  return json_integer ((json_int_t) value);
}

double
kr_json_number (const json_t *value)
{
  return json_is_integer (value) ? (double) kr_json_uint (value) : json_real_value (value);
}

/* --- decoding ------------------------------------------------------------------------ */
/* An array or object that is being read. */
typedef struct {
  json_t *value;
  char *name; /* of the next member of an object */
} Container;

typedef struct {
  json_t *root;
  GArray *open;        /* Container, the innermost last */
  gsize ignored_depth; /* containers that are open below KR_JSON_DEPTH_MAX */
} Decoder;

static void
container_clear (gpointer data)
{
  g_free (((Container *) data)->name);
}

/* Returns a copy in which U+FFFD stands for what a string cannot hold. */
static char *
decode_text (const unsigned char *text, size_t length)
{
  return g_utf8_make_valid ((const char *) text, (gssize) length);
}

/* Takes over `value`. */
static void
add_value (Decoder *decoder, json_t *value)
{
  if (decoder->ignored_depth) {
    json_decref (value);
    return;
  }
  if (!decoder->open->len) {
    decoder->root = value;
    return;
  }
  Container *container = &g_array_index (decoder->open, Container, decoder->open->len - 1);
  if (json_is_array (container->value))
    json_array_append_new (container->value, value);
  else
    json_object_set_new_nocheck (container->value, container->name, value);
}

static int
on_null (void *data)
{
  add_value (data, json_null ());
  return CALLBACK_CONTINUE;
}

static int
on_boolean (void *data, int value)
{
  add_value (data, json_boolean (value));
  return CALLBACK_CONTINUE;
}

/* `text`: a number in the syntax of JSON. */
static json_t *
decode_number (const char *text)
{
  guint64 integer;
  if (g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &integer, NULL))
    return kr_json_uint_new (integer);
  /* A long double holds every integer below 2^64 exactly, a double does not. */
  long double number = strtold (text, NULL), whole = roundl (number);
  double nearest = (double) CLAMP (number, -DBL_MAX, DBL_MAX);
  if (number >= 0 && whole < UINT_END && floor (nearest) == nearest)
    return kr_json_uint_new ((guint64) whole);
  return json_real (nearest);
}

static int
on_number (void *data, const char *text, size_t length)
{
  g_autofree char *number = g_strndup (text, length);
  add_value (data, decode_number (number));
  return CALLBACK_CONTINUE;
}

static int
on_string (void *data, const unsigned char *text, size_t length)
{
  g_autofree char *string = decode_text (text, length);
  add_value (data, json_string_nocheck (string));
  return CALLBACK_CONTINUE;
}

static int
on_name (void *data, const unsigned char *text, size_t length)
{
  Decoder *decoder = data;
  if (decoder->ignored_depth)
    return CALLBACK_CONTINUE;
  Container *container = &g_array_index (decoder->open, Container, decoder->open->len - 1);
  g_free (container->name);
  container->name = decode_text (text, length);
  return CALLBACK_CONTINUE;
}

/* Takes over `value`. */
static int
open_container (Decoder *decoder, json_t *value)
{
  gboolean ignore = decoder->open->len >= KR_JSON_DEPTH_MAX;
  add_value (decoder, ignore ? json_null () : json_incref (value));
  if (ignore)
    decoder->ignored_depth++;
  else
    g_array_append_val (decoder->open, ((Container){ value, NULL }));
  json_decref (value);
  return CALLBACK_CONTINUE;
}

static int
on_start_object (void *data)
{
  return open_container (data, json_object ());
}

static int
on_start_array (void *data)
{
  return open_container (data, json_array ());
}

static int
on_end_container (void *data)
{
  Decoder *decoder = data;
  if (decoder->ignored_depth)
    decoder->ignored_depth--;
  else
    g_array_set_size (decoder->open, decoder->open->len - 1);
  return CALLBACK_CONTINUE;
}

static const yajl_callbacks callbacks = {
  .yajl_null = on_null,
  .yajl_boolean = on_boolean,
  .yajl_number = on_number,
  .yajl_string = on_string,
  .yajl_start_map = on_start_object,
  .yajl_map_key = on_name,
  .yajl_end_map = on_end_container,
  .yajl_start_array = on_start_array,
  .yajl_end_array = on_end_container,
};

static char *
describe_error (yajl_handle parser)
{
  unsigned char *text = yajl_get_error (parser, FALSE, NULL, 0);
  char *error = g_strdup_printf ("byte %zu: %s", yajl_get_bytes_consumed (parser),
                                 g_strchomp ((char *) text));
  yajl_free_error (parser, text);
  return error;
}

json_t *
kr_json_decode (const char *text, gsize length, char **error)
{
  Decoder decoder = { .open = g_array_new (FALSE, FALSE, sizeof (Container)) };
  g_autofree char *syntax_error = NULL;
  const char *invalid;
  g_array_set_clear_func (decoder.open, container_clear);
  yajl_handle parser = yajl_alloc (&callbacks, NULL, &decoder);
  yajl_config (parser, yajl_dont_validate_strings, TRUE);
  if (!g_utf8_validate_len (text, length, &invalid))
    syntax_error = g_strdup_printf ("byte %zu: not UTF-8", (gsize) (invalid - text));
  else if (yajl_parse (parser, (const unsigned char *) text, length) != yajl_status_ok ||
           yajl_complete_parse (parser) != yajl_status_ok)
    syntax_error = describe_error (parser);
  yajl_free (parser);
  g_array_unref (decoder.open);
  if (syntax_error)
    g_clear_pointer (&decoder.root, json_decref);
  if (error)
    *error = g_steal_pointer (&syntax_error);
  return decoder.root;
}

/* --- encoding ------------------------------------------------------------------------ */
static void
encode_string (yajl_gen generator, const char *text, gsize length)
{
  yajl_gen_string (generator, (const unsigned char *) text, length);
}

static void
encode_real (yajl_gen generator, double number)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE + 2];
  g_ascii_dtostr (text, G_ASCII_DTOSTR_BUF_SIZE, number);
  /* The protocol writes amounts as 4.0. */
  if (!strpbrk (text, ".e"))
    g_strlcat (text, ".0", sizeof text);
  yajl_gen_number (generator, text, strlen (text));
}

static void
encode_integer (yajl_gen generator, guint64 number)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];
  gint length = g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, number);
  yajl_gen_number (generator, text, (gsize) length);
}

static void
encode_scalar (yajl_gen generator, json_t *value)
{
  switch (json_typeof (value)) {
  case JSON_STRING:
    encode_string (generator, json_string_value (value), json_string_length (value));
    break;
  case JSON_INTEGER:
    encode_integer (generator, kr_json_uint (value));
    break;
  case JSON_REAL:
    encode_real (generator, json_real_value (value));
    break;
  case JSON_TRUE:
  case JSON_FALSE:
    yajl_gen_bool (generator, json_is_true (value));
    break;
  default:
    yajl_gen_null (generator);
    break;
  }
}

/* An array or object that is being written. */
typedef struct {
  json_t *container;
  size_t index; /* of the next item of an array */
  void *member; /* the next member of an object */
} Position;

static void
open_position (yajl_gen generator, GArray *stack, json_t *container)
{
  if (json_is_array (container))
    yajl_gen_array_open (generator);
  else
    yajl_gen_map_open (generator);
  g_array_append_val (stack, ((Position){ container, 0, json_object_iter (container) }));
}

/* Writes the name of the next member of an object. Returns the next value, NULL at the end. */
static json_t *
next_value (yajl_gen generator, Position *position)
{
  json_t *container = position->container;
  if (json_is_array (container))
    return json_array_get (container, position->index++);
  if (!position->member)
    return NULL;
  const char *name = json_object_iter_key (position->member);
  json_t *value = json_object_iter_value (position->member);
  encode_string (generator, name, strlen (name));
  position->member = json_object_iter_next (container, position->member);
  return value;
}

static void
close_position (yajl_gen generator, GArray *stack)
{
  if (json_is_array (g_array_index (stack, Position, stack->len - 1).container))
    yajl_gen_array_close (generator);
  else
    yajl_gen_map_close (generator);
  g_array_set_size (stack, stack->len - 1);
}

static void
encode_value (yajl_gen generator, json_t *root)
{
  g_autoptr (GArray) stack = g_array_new (FALSE, FALSE, sizeof (Position));
  json_t *value = root;
  do {
    if (json_is_array (value) || json_is_object (value))
      open_position (generator, stack, value);
    else
      encode_scalar (generator, value);
    while (stack->len &&
           !(value = next_value (generator, &g_array_index (stack, Position, stack->len - 1))))
      close_position (generator, stack);
  } while (stack->len);
}

char *
kr_json_encode (json_t *value)
{
  const unsigned char *text;
  size_t length;
  yajl_gen generator = yajl_gen_alloc (NULL);
  encode_value (generator, value);
  yajl_gen_get_buf (generator, &text, &length);
  char *copy = g_strndup ((const char *) text, length);
  yajl_gen_free (generator);
  return copy;
}
