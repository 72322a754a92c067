/* The keelrouter program: reads the command line and the settings file, then runs one node. */
#include "log.h"
#include "node.h"
#include "settings.h"
#include <locale.h>
#include <stdio.h>

int
main (int argc, char **argv)
{
  g_autofree char *config = NULL;
  gboolean check = FALSE, version = FALSE;
  const GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "Settings file (TOML)", "FILE" },
    { "check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings file and exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { NULL }
  };
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) options = g_option_context_new ("- a cluster scheduler's controller");

  /* Disables GIO's proxy resolver, VFS and loadable modules such as TLS. The program only speaks
   * plain HTTP to numeric addresses, and loading them would cost start-up time and memory on very
   * small machines. */
  g_setenv ("GIO_USE_VFS", "local", TRUE);
  g_setenv ("GIO_USE_PROXY_RESOLVER", "dummy", TRUE);
  g_setenv ("GIO_USE_NETWORK_MONITOR", "base", TRUE);
  g_setenv ("GIO_MODULE_DIR", "/nonexistent", TRUE);

  g_option_context_add_main_entries (options, entries, NULL);
  g_option_context_set_description (options, "Environment:\n  LOG_LEVEL  error, info (default) or "
                                             "debug; logs go to standard error\n");
  if (!g_option_context_parse (options, &argc, &argv, &error)) {
    fprintf (stderr, "keelrouter: %s\n", error->message);
    return 2;
  }
  if (version) {
    printf ("keelrouter %s\n", KR_VERSION);
    return 0;
  }
  if (argc > 1) {
    fprintf (stderr, "keelrouter: unexpected argument '%s'\n", argv[1]);
    return 2;
  }
  if (!config) {
    fprintf (stderr, "keelrouter: --config FILE is required (see --help)\n");
    return 2;
  }
  if (!kr_log_init (g_getenv ("LOG_LEVEL"), &error)) {
    fprintf (stderr, "keelrouter: %s\n", error->message);
    return 2;
  }
  g_autoptr (KrSettings) settings = kr_settings_load (config, &error);
  if (!settings) {
    fprintf (stderr, "keelrouter: settings: %s\n", error->message);
    return 1;
  }
  if (check) {
    printf ("%s: valid\n", config);
    return 0;
  }
  KrNode *node = kr_node_new (settings, &error);
  if (!node) {
    fprintf (stderr, "keelrouter: %s\n", error->message);
    return 1;
  }
  kr_node_run (node);
  kr_node_free (node);
  return 0;
}
