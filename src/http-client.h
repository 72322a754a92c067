/* An HTTP client on libsoup for calls with JSON bodies. Each call has a time-out, and the number of
 * concurrent calls is limited. The client knows no field of the protocol. */
#pragma once
#include "json-codec.h"
#include <gio/gio.h>

typedef struct KrHttpClient KrHttpClient;
/* `status`: 0 if there was no response, so that the outcome is unknown. `body`: NULL if the
 * response is not JSON; it is borrowed and valid only until the callback returns. */
typedef void (*KrHttpResponseFunc) (guint status, json_t *body, gpointer data);

/* At most `conns` concurrent calls and connections, `conns_per_host` of them to one host. Idle
 * connections are closed every `idle_s` seconds, at a moment without active calls. With 0, only the
 * peer closes them. */
KrHttpClient *kr_http_client_new (guint conns, guint conns_per_host, guint idle_s);
/* Aborts the calls in progress. The callbacks of all calls are still called. */
void kr_http_client_free (KrHttpClient *client);
/* Takes over `body`, which may be NULL. `callback` is called exactly once, never before this
 * function returns, also if the call is cancelled, and at the latest after `timeout_ms`,
 * which includes the time in the client's queue. This does not depend on libsoup reporting the end
 * of the call. */
void kr_http_client_call (KrHttpClient *client, const char *method, const char *host,
                          const char *path, json_t *body, guint timeout_ms, GCancellable *cancel,
                          KrHttpResponseFunc callback, gpointer data);
/* Returns the number of calls in this process whose end libsoup has not reported in time. */
guint kr_http_client_lost_calls (void);
