import type { FastifyReply } from 'fastify';
import type { Finding } from '@pewterlanding/model';

/** Sends the one form of all failures: an error text and, where the request has faults, the findings with their places. */
export function sendError(reply: FastifyReply, status: number, error: string, findings?: readonly Finding[]): FastifyReply {
  return reply.code(status).send(findings === undefined ? { error } : { error, findings });
}
