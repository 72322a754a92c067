#include "worker-client.h"
#include "constants.h"

typedef struct {
  KrWorkerReplyFunc reply;
  gpointer data;
} WorkerCall;

static void
on_response (guint status, json_t *body, gpointer data)
{
  WorkerCall *call = data;
  g_autoptr (KrReport) report = body ? kr_wire_report_parse (body) : NULL;
  call->reply (status, report, call->data);
  g_free (call);
}

static WorkerCall *
worker_call_new (KrWorkerReplyFunc reply, gpointer data)
{
  WorkerCall *call = g_new (WorkerCall, 1);
  *call = (WorkerCall){ reply, data };
  return call;
}

void
kr_worker_get_report (KrHttpClient *client, const char *endpoint, GCancellable *cancel,
                      KrWorkerReplyFunc reply, gpointer data)
{
  kr_http_client_call (client, "GET", endpoint, KR_PATH_SHOW, NULL, KR_WORKER_TIMEOUT_MS, cancel,
                       on_response, worker_call_new (reply, data));
}

void
kr_worker_send_commands (KrHttpClient *client, const char *endpoint, json_t *commands,
                         GCancellable *cancel, KrWorkerReplyFunc reply, gpointer data)
{
  kr_http_client_call (client, "POST", endpoint, KR_PATH_COMMANDS, commands, KR_WORKER_TIMEOUT_MS,
                       cancel, on_response, worker_call_new (reply, data));
}
