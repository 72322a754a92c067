/* JSON text to values and back, for what other processes send and for what is stored.
 *
 * Everything that RFC 8259 allows is accepted: numbers of any size, any escape, any nesting, a name
 * more than once (the last one counts). Values hold the numbers as the protocol has them: a whole
 * number from 0 to 2^64 - 1 is a JSON integer in every spelling (4, 4.0, 4E+0), and its 64 bits are
 * unsigned; every other number is a real. So values are read with the functions below, never with
 * json_integer_value() and json_number_value(), which take the bits as signed. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* Returns the value, or NULL with `error` (out, NULL: not wanted) set to the syntax error and its
 * position, to be freed with g_free(). What is nested deeper than KR_JSON_DEPTH_MAX is null in the
 * value. A character that a string cannot hold (U+0000, half of a surrogate pair) is U+FFFD or "?"
 * in it. */
json_t *kr_json_decode (const char *text, gsize length, char **error);
/* Returns the text, to be freed with g_free(). The value must not be nested deeper than 128. */
char *kr_json_encode (json_t *value);

/* Of a number that is not negative; FALSE and 0 for all other values, and for NULL. */
gboolean kr_json_is_uint (const json_t *value);
guint64 kr_json_uint (const json_t *value);
/* Returns `limit` if the value is no unsigned integer, or greater. */
guint64 kr_json_uint_below (const json_t *value, guint64 limit);
json_t *kr_json_uint_new (guint64 value);
/* Returns a number as a double, 0 for other values. */
double kr_json_number (const json_t *value);
