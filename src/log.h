/* Logging to standard error through GLib's structured logging. */
#pragma once
#include <glib.h>

/* Installs the log writer. level: the value of LOG_LEVEL: error, info or debug; NULL or "" means
 * info. Returns FALSE and sets `error` for any other value. */
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
