package org.boragethread.entry.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.boragethread.platform.store.PlatformHeaders;

/** Serves the load balancer's readiness check and the metrics. */
@Sharable
final class StatusEndpoint extends SimpleChannelInboundHandler<Object> {

    private final Gateway mGateway;

    StatusEndpoint(Gateway gateway) {
        mGateway = gateway;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpRequest request)) {
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        FullHttpResponse response = respond(request.uri());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var written = context.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private FullHttpResponse respond(String path) {
        if (path.equals(PlatformHeaders.READINESS_PATH)) {
            boolean ready = mGateway.isReady();
            return response(
                    ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ready ? "ready" : "not ready");
        }
        if (path.equals("/metrics")) {
            return response(HttpResponseStatus.OK, mGateway.metrics().scrape());
        }
        return response(HttpResponseStatus.NOT_FOUND, "no such path");
    }

    private static FullHttpResponse response(HttpResponseStatus status, String body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mGateway.metrics().onBrokenConnection("status-connection");
        context.close();
    }
}
