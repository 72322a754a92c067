#include "worker.h"
#include "constants.h"

typedef struct {
  KrWorkerReply reply;
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
op_new (KrWorkerReply reply, gpointer data)
{
  Op *op = g_new (Op, 1);
  *op = (Op){ reply, data };
  return op;
}

void
kr_worker_show (KrClient *client, const char *endpoint, GCancellable *cancel, KrWorkerReply reply,
                gpointer data)
{
  kr_client_call (client, "GET", endpoint, KR_PATH_SHOW, NULL, KR_WORKER_TIMEOUT_MS, cancel, done,
                  op_new (reply, data));
}

void
kr_worker_command (KrClient *client, const char *endpoint, json_t *commands, GCancellable *cancel,
                   KrWorkerReply reply, gpointer data)
{
  kr_client_call (client, "POST", endpoint, KR_PATH_COMMANDS, commands, KR_WORKER_TIMEOUT_MS,
                  cancel, done, op_new (reply, data));
}
