/* HTTP calls on libsoup: JSON bodies, a deadline, a bounded number at once. Knows no field of the
 * protocol. */
#pragma once
#include <gio/gio.h>
#include <jansson.h>

typedef struct KrHttpClient KrHttpClient;
/* status 0: no response, the outcome is unknown. `body` is borrowed, NULL if not JSON. */
typedef void (*KrHttpResponseFunc) (guint status, json_t *body, gpointer data);

/* At most `conns` calls and connections at once, `conns_per_host` of them to one host. Unused
 * connections are closed every `idle_s` seconds, in a moment without calls; 0: by the peer only. */
KrHttpClient *kr_http_client_new (guint conns, guint conns_per_host, guint idle_s);
void kr_http_client_free (KrHttpClient *client);
/* Takes over `body` (may be NULL). `reply` is called exactly once, later, cancelled or not, and at
 * the latest after `timeout_ms`, whatever the library does. */
void kr_http_client_call (KrHttpClient *client, const char *method, const char *host,
                          const char *path, json_t *body, guint timeout_ms, GCancellable *cancel,
                          KrHttpResponseFunc reply, gpointer data);
/* Calls of this process, so far, whose end the library did not report. */
guint kr_http_client_lost_calls (void);
