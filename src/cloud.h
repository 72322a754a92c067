/* The cloud's client, within this node's share of its requests. */
#pragma once
#include "http.h"
#include "wire.h"

typedef struct KrCloud KrCloud;
KrCloud *kr_cloud_new (const KrSettings *settings);
void kr_cloud_free (KrCloud *self);
void kr_cloud_types (KrCloud *self, GCancellable *cancel, KrReply reply, gpointer data);
/* machines: KrMachine, NULL if the list could not be read whole. */
typedef void (*KrCloudListed) (GPtrArray *machines, gpointer data);
void kr_cloud_list (KrCloud *self, GCancellable *cancel, KrCloudListed listed, gpointer data);
void kr_cloud_rent (KrCloud *self, const char *request, const char *type, const char *zone,
                    gboolean spot, guint count, GCancellable *cancel, KrReply reply, gpointer data);
/* Up to KR_DELETE_MAX names. status 200: surely gone. */
void kr_cloud_delete (KrCloud *self, char **ids, GCancellable *cancel, KrReply reply,
                      gpointer data);
