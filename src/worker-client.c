#include "worker-client.h"
#include "constants.h"

typedef struct {
  KrWorkerReplyFunc reply;
  gpointer data;
} Op;

static void
done (guint status, json_t *body, gpointer data)
{
  Op *op = data;
  g_autoptr (KrReport) report = body ? kr_wire_report_parse (body) : NULL;
  op->reply (status, report, op->data);
  g_free (op);
}

static Op *
op_new (KrWorkerReplyFunc reply, gpointer data)
{
  Op *op = g_new (Op, 1);
  *op = (Op){ reply, data };
  return op;
}

void
kr_worker_get_report (KrHttpClient *client, const char *endpoint, GCancellable *cancel,
                      KrWorkerReplyFunc reply, gpointer data)
{
  kr_http_client_call (client, "GET", endpoint, KR_PATH_SHOW, NULL, KR_WORKER_TIMEOUT_MS, cancel,
                       done, op_new (reply, data));
}

void
kr_worker_send_commands (KrHttpClient *client, const char *endpoint, json_t *commands,
                         GCancellable *cancel, KrWorkerReplyFunc reply, gpointer data)
{
  kr_http_client_call (client, "POST", endpoint, KR_PATH_COMMANDS, commands, KR_WORKER_TIMEOUT_MS,
                       cancel, done, op_new (reply, data));
}
