import type { FastifyRequest } from 'fastify';

/** Reads headers that the product's own interface defines. */
export const requestHeaders = {
  /** The quota that a caller names. The header's old name, `branch`, is accepted for one version more. */
  quota: (request: FastifyRequest): string | undefined => single(request, 'quota') ?? single(request, 'branch'),

  /** What marks repeats of one submission. */
  idempotencyKey: (request: FastifyRequest): string | undefined => single(request, 'idempotency-key'),
};

function single(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}
