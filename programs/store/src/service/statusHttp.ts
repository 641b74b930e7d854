import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { addressParts } from '@pewterlanding/model';
import type { Address } from '@pewterlanding/model';

/** Serves `/status`: what this process runs and its counters, as JSON. */
export async function statusHttp(address: Address, status: () => Promise<unknown>): Promise<FastifyInstance> {
  const app = Fastify({ forceCloseConnections: true });
  app.get('/status', async () => status());
  const { host, port } = addressParts(address);
  await app.listen({ host, port });
  return app;
}
