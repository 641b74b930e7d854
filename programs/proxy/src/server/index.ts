export * from './proxyHttp.js';
export * from './proxyServer.js';
export * from './sendError.js';
export * from './sendReturn.js';
export * from './serveProxyHttp.js';
export * from './servedHttp.js';
export * from './taskBody.js';
