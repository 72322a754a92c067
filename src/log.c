#include "log.h"
#include <stdio.h>
#include <string.h>

static GLogLevelFlags max_level = G_LOG_LEVEL_INFO;

gboolean
kr_log_debug_enabled (void)
{
  return max_level >= G_LOG_LEVEL_DEBUG;
}

static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer data)
{
  const char *message = NULL, *domain = "", *level_name = "info";
  g_autoptr (GDateTime) now = NULL;

  level &= G_LOG_LEVEL_MASK;
  if (level > max_level)
    return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
    else if (strcmp (fields[i].key, "GLIB_DOMAIN") == 0)
      domain = fields[i].value;
  if (level >= G_LOG_LEVEL_DEBUG && strcmp (domain, G_LOG_DOMAIN) != 0)
    return G_LOG_WRITER_HANDLED; /* debug messages of GLib and other libraries */
  if (level <= G_LOG_LEVEL_CRITICAL)
    level_name = "error";
  else if (level == G_LOG_LEVEL_WARNING)
    level_name = "warning";
  else if (level == G_LOG_LEVEL_DEBUG)
    level_name = "debug";
  gint64 now_us = g_get_real_time ();
  fprintf (stderr, "%" G_GINT64_FORMAT ".%03d %s %s\n", now_us / G_USEC_PER_SEC,
           (int) (now_us / 1000 % 1000), level_name, message ? message : "");
  return G_LOG_WRITER_HANDLED;
}

gboolean
kr_log_init (const char *level, GError **error)
{
  if (level == NULL || *level == '\0' || g_str_equal (level, "info"))
    max_level = G_LOG_LEVEL_INFO;
  else if (g_str_equal (level, "error"))
    max_level = G_LOG_LEVEL_CRITICAL;
  else if (g_str_equal (level, "debug"))
    max_level = G_LOG_LEVEL_DEBUG;
  else {
    g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                 "LOG_LEVEL: '%s' is not one of error, info, debug", level);
    return FALSE;
  }
  g_log_set_writer_func (write_log, NULL, NULL);
  return TRUE;
}
