/* Logging to standard error through GLib's structured logging; LOG_LEVEL is error, info or debug.
 */
#pragma once
#include <glib.h>

/* Installs the writer. FALSE with an error if LOG_LEVEL holds an unknown word. */
gboolean kr_log_init (const char *level, GError **error);
gboolean kr_log_debug_enabled (void);

#define kr_info(...) g_info (__VA_ARGS__)
#define kr_debug(...)                                                                              \
  G_STMT_START                                                                                     \
  {                                                                                                \
    if (kr_log_debug_enabled ())                                                                   \
      g_debug (__VA_ARGS__);                                                                       \
  }                                                                                                \
  G_STMT_END
