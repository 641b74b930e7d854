import type { FastifyReply } from 'fastify';
import type { Finding } from '@pewterlanding/model';

/** Every failure has one shape: what is wrong, and the findings with their places where there are any. */
export function sendError(reply: FastifyReply, status: number, error: string, findings?: readonly Finding[]): FastifyReply {
  return reply.code(status).send(findings === undefined ? { error } : { error, findings });
}
