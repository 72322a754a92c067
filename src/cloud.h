/* The cloud's client, within this node's share of its requests. */
#pragma once
#include "http-client.h"
#include "wire.h"

typedef struct KrCloud KrCloud;
KrCloud *kr_cloud_new (const KrSettings *settings);
void kr_cloud_free (KrCloud *cloud);
void kr_cloud_types (KrCloud *cloud, GCancellable *cancel, KrReply reply, gpointer data);
/* machines: KrListedMachine, NULL if the list could not be read whole. */
typedef void (*KrCloudListed) (GPtrArray *machines, gpointer data);
void kr_cloud_list (KrCloud *cloud, GCancellable *cancel, KrCloudListed listed, gpointer data);
void kr_cloud_rent (KrCloud *cloud, const char *request, const char *type, const char *zone,
                    gboolean spot, guint count, GCancellable *cancel, KrReply reply, gpointer data);
/* status 200: surely gone. Requests of one moment, and those made while the limit holds them back,
 * go out in one call. */
void kr_cloud_delete (KrCloud *cloud, const char *id, GCancellable *cancel, KrReply reply,
                      gpointer data);
/* This node's part (0 to 1) of the requests of all nodes together. */
void kr_cloud_set_share (KrCloud *cloud, double share);
