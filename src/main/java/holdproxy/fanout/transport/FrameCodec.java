package holdproxy.fanout.transport;

import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Message;
import holdproxy.fanout.MessageCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;

/**
 * Encodes and decodes frames: a four-byte length followed by the message. The last encoded message is
 * cached by identity, so that a message sent to many links is encoded only once.
 */
final class FrameCodec {
    /** Length of the header before a frame's content. */
    static final int HEADER_BYTES = Integer.BYTES;

    private final MessageCodec codec;
    private Message lastMessage;
    private byte[] lastFrame;

    FrameCodec(FanoutSettings settings) {
        codec = new MessageCodec(settings.limits());
    }

    /** Decodes a frame's content, or throws a {@link holdproxy.fanout.ProtocolException}. */
    Message decode(ByteBuf content) {
        return codec.decode(ByteBufUtil.getBytes(content));
    }

    ByteBuf encode(Message message) {
        if (message != lastMessage) {
            byte[] content = codec.encode(message);
            lastFrame =
                    ByteBuffer.allocate(HEADER_BYTES + content.length)
                            .putInt(content.length)
                            .put(content)
                            .array();
            lastMessage = message;
        }
        return Unpooled.wrappedBuffer(lastFrame);
    }
}
