/* HTTP on libsoup: bounded servers and JSON calls with a deadline. Knows no field of the protocol.
 */
#pragma once
#include "flow.h"
#include "settings.h"
#include <gio/gio.h>
#include <jansson.h>

/* --- calls --------------------------------------------------------------------------- */
typedef struct KrClient KrClient;
/* status 0: no response, the outcome is unknown. `body` is borrowed, NULL if not JSON. */
typedef void (*KrReply) (guint status, json_t *body, gpointer data);

KrClient *kr_client_new (guint conns, guint conns_per_host, guint idle_s);
void kr_client_free (KrClient *client);
/* Takes over `body` (may be NULL). `reply` is called exactly once, later, cancelled or not. */
void kr_client_call (KrClient *client, const char *method, const char *host, const char *path,
                     json_t *body, guint timeout_ms, GCancellable *cancel, KrReply reply,
                     gpointer data);

/* --- server -------------------------------------------------------------------------- */
typedef struct KrServer KrServer;
typedef struct KrRequest KrRequest;
typedef void (*KrHandler) (KrRequest *request, gpointer data);

/* Listens on "ip:port"; at most `conns` connections, each bounded in idle time. */
KrServer *kr_server_new (const char *address, guint conns, guint idle_s, GCancellable *cancel,
                         KrHandler handler, gpointer data, GError **error);
void kr_server_free (KrServer *server);

const char *kr_request_method (KrRequest *request);
const char *kr_request_path (KrRequest *request);  /* without the query */
const char *kr_request_query (KrRequest *request); /* what follows "?", or NULL */
/* NULL if the body is no JSON value. Borrowed. */
json_t *kr_request_json (KrRequest *request);
gboolean kr_request_gone (KrRequest *request);
/* Answers and lets go of the request. Takes over `body`; retry_after_s 0: no such header. */
void kr_request_reply (KrRequest *request, guint status, json_t *body, guint retry_after_s);
